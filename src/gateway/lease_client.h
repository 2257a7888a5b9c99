// Takes a lease row of the store when it is this gateway's turn, and renews it while it is needed.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>

#include "forwarding/order_lease.h"
#include "gateway/core.h"
#include "gateway/refused_rows.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

class LeaseClient {
 public:
  // `row`: the lease's key; `on_renewed`: it was taken or renewed just now.
  LeaseClient(Core& core, std::string row, std::function<void()> on_renewed);

  // Called again and again. Not needed: it is left to run out. Else it is renewed, or taken once `turn` has
  // passed since it was needed and since another was last heard to hold it.
  void maintain(bool is_needed, absl::Duration turn, absl::Time holder_last_heard, absl::Time now);
  bool holds(absl::Time now) const { return lease_.holds(now); }
  // Whether the holder may act: not near the lease's end.
  bool mayAct(absl::Time now) const { return lease_.mayOrder(now); }
  // The lease ends then unless it is renewed.
  absl::Time validUntil() const { return lease_.validUntil(); }
  Epoch fence() const { return lease_.fence(); }
  // The row's version, as the last write was answered.
  uint64_t rowVersion() const { return lease_.version(); }
  // A higher fence was seen, if told which: this holder is not the last one.
  void onFenced(Epoch seen = Epoch()) { lease_.onFenced(seen); }

 private:
  void acquire(absl::Time holder_last_heard, absl::Time now);
  void renew(absl::Time now);
  void write(const forwarding::LeaseWrite& write);
  void handleWriteResult(StoreStatus status, const forwarding::StoreRows& response, absl::Time began,
                         bool was_held);
  void logAcquired(absl::Duration store_clock, absl::Time now);

  Core& core_;
  StoreClient store_;
  std::string row_;
  std::function<void()> on_renewed_;
  forwarding::OrderLease lease_;
  RefusedRows refused_rows_;
  std::optional<forwarding::LeaseRecord> last_read_;  // by the last reading
  bool is_call_pending_ = false;
  absl::Time next_renewal_ = absl::InfinitePast();
  absl::Time next_attempt_ = absl::InfinitePast();
  absl::Time needed_since_ = absl::InfiniteFuture();
};

}  // namespace quincewick::gateway
