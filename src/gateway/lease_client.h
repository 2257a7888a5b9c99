// Acquires a lease (a row of the store) when it is this gateway's turn, and renews it while it is needed.
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
  // `row`: the lease's key. `on_renewed`: called after each acquisition and renewal.
  LeaseClient(Core& core, std::string row, std::function<void()> on_renewed);

  // Called periodically. A lease that is not needed is left to expire. Otherwise it is renewed, or acquired
  // once `turn` has passed both since it became needed and since another holder was last heard.
  void maintain(bool is_needed, absl::Duration turn, absl::Time holder_last_heard, absl::Time now);
  bool holds(absl::Time now) const { return lease_.holds(now); }
  // Whether the holder may act under the lease: false near its expiry.
  bool mayAct(absl::Time now) const { return lease_.mayOrder(now); }
  // When the lease expires unless it is renewed.
  absl::Time validUntil() const { return lease_.validUntil(); }
  Epoch fence() const { return lease_.fence(); }
  // The row's version, from the response to the last write.
  uint64_t rowVersion() const { return lease_.version(); }
  // Called when a higher fencing token was seen (`seen`, if known): a later holder exists.
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
  std::optional<forwarding::LeaseRecord> last_read_;  // the record that the last read returned
  bool is_call_pending_ = false;
  absl::Time next_renewal_ = absl::InfinitePast();
  absl::Time next_attempt_ = absl::InfinitePast();
  absl::Time needed_since_ = absl::InfiniteFuture();
};

}  // namespace quincewick::gateway
