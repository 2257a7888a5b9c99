// The right to give orders to engines: one row of the store under a condition, timed by the store's own
// steady clock. Whoever takes it gets a higher fence, so that orders of an earlier holder bounce.
//
// A holder stops giving orders well before its lease ends, and a new one begins only when the last one's end
// has passed by a whole lease: orders of two holders never take turns. Neither rests on the store's memory
// alone: fences are made of its clock, and a holder that the store may have forgotten is waited for
// (docs/design/order_lease.md). Pure; `now` is the node's steady clock.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

#include "forwarding/store_history.h"
#include "types/identifiers.h"

namespace quincewick::forwarding {

// The row's value.
struct LeaseRecord {
  NodeId holder;
  Epoch fence;
  absl::Duration until;  // by the store's clock
  std::optional<uint64_t> era =
      std::nullopt;  // of the store, when the lease was taken; nothing: it told none

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

std::string printLeaseRecord(const LeaseRecord& record);
// Nothing for a malformed text.
std::optional<LeaseRecord> parseLeaseRecord(const std::string& text);

// An answer of the store: its clock, and when the call began and ended by this node's clock.
struct StoreCallTiming {
  absl::Duration store_clock;
  absl::Time began;
  absl::Time ended;
};

// A row to write if its version still is the expected one.
struct LeaseWrite {
  LeaseRecord record;
  uint64_t expected_version = 0;
};

class OrderLease {
 public:
  // `history`: of the store that has the row; it knows each answer before the lease does.
  OrderLease(NodeId self, absl::Duration length, const StoreHistory& history);

  // The row as it is (nothing: it isn't there, or can't be read and has a version). Returns what to write to
  // take the lease; nothing while another holds it. `holder_last_seen`: when another was last heard to hold
  // it.
  std::optional<LeaseWrite> onRead(const std::optional<LeaseRecord>& record, uint64_t version,
                                   const StoreCallTiming& moment,
                                   absl::Time holder_last_seen = absl::InfinitePast());
  // What to write to go on holding it; nothing where it is not held.
  std::optional<LeaseWrite> renew(absl::Time now);
  // The last write was done and the row has this version.
  void onWritten(uint64_t version, const StoreCallTiming& moment);
  // The last write was not done, or it is not known whether it was.
  void onWriteFailed();

  // Whether the row is held, as far as this node knows.
  bool holds(absl::Time now) const;
  // Whether an order may be given now.
  bool mayOrder(absl::Time now) const;
  Epoch fence() const { return record_.fence; }
  // The row's, as the last write was answered.
  uint64_t version() const { return version_; }
  absl::Time validUntil() const { return valid_until_; }
  // A higher fence is known elsewhere, if told which: this holder is not the last one.
  void onFenced(Epoch seen = Epoch());

 private:
  Epoch nextFence(absl::Duration store_clock) const;
  absl::Time firstOrderTime(const std::optional<LeaseRecord>& record, uint64_t version,
                            const StoreCallTiming& moment, absl::Time holder_last_seen) const;
  // After a moment at which another may have renewed its lease for the last time.
  absl::Duration maxHolderWait() const;
  // After the last holder's end, as far as its record tells.
  absl::Time firstOrderTimeByRecord(const LeaseRecord& record, const StoreCallTiming& moment) const;
  // Written by this process, and no other's take came between.
  bool isOfThisProcess(const LeaseRecord& record) const;
  LeaseWrite prepare(Epoch fence, absl::Duration until, uint64_t version, absl::Time valid_until);

  NodeId self_;
  absl::Duration length_;
  const StoreHistory& history_;
  bool held_ = false;
  LeaseRecord record_;
  uint64_t version_ = 0;
  absl::Time valid_until_ = absl::InfinitePast();
  Epoch highest_fence_;          // that this node has seen or written
  Epoch first_own_fence_;        // of takes in a row that no other's came between
  uint64_t generation_ = 0;      // of the store's history, when the row was read for the last take
  std::optional<uint64_t> era_;  // the same
  absl::Time first_order_ = absl::InfinitePast();
  StoreCallTiming last_moment_;
  LeaseWrite pending_write_;  // under way
  absl::Time pending_valid_until_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
