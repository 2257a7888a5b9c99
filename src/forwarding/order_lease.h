// The lease that permits a gateway to send weight-loading orders to engines: one row of the store, written
// conditionally on its version and timed by the store's own steady clock. Each acquisition gets a higher
// fencing token, so that engines reject orders of an earlier holder.
//
// A holder stops sending orders 1 s before its lease expires, and a new holder starts only when a lease
// length less this second has passed since the previous lease expired, so the orders of two holders never
// interleave. This and the rise of fencing tokens hold even if the store loses the row: fencing tokens are
// derived from the store's clock, and a new holder also waits for a holder whose record the store may have
// lost (docs/design/order_lease.md). Performs no I/O; `now` is the node's steady clock.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

#include "forwarding/store_history.h"
#include "types/identifiers.h"

namespace quincewick::forwarding {

// The value of the lease row.
struct LeaseRecord {
  NodeId holder;
  Epoch fence;
  absl::Duration until;  // expiry, by the store's clock
  // The store's era when the lease was acquired; nullopt if the store reported none.
  std::optional<uint64_t> era = std::nullopt;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

std::string printLeaseRecord(const LeaseRecord& record);
// Returns nullopt if the text is malformed.
std::optional<LeaseRecord> parseLeaseRecord(const std::string& text);

// When a call to the store took place: the store's clock in its response, and the start and end of the call
// by this node's clock.
struct StoreCallTiming {
  absl::Duration store_clock;
  absl::Time began;
  absl::Time ended;
};

// A conditional write of the lease row: it succeeds only if the row still has the expected version.
struct LeaseWrite {
  LeaseRecord record;
  uint64_t expected_version = 0;
};

class OrderLease {
 public:
  // `history` belongs to the store that holds the row and must be updated with each response before the lease
  // is.
  OrderLease(NodeId self, absl::Duration length, const StoreHistory& history);

  // Handles a read of the row. `record` is nullopt if the row does not exist (`version` 0) or cannot be
  // parsed. Returns the write that acquires the lease, or nullopt while another node holds it.
  // `holder_last_seen`: when another node last reported that it holds the lease.
  std::optional<LeaseWrite> onRead(const std::optional<LeaseRecord>& record, uint64_t version,
                                   const StoreCallTiming& timing,
                                   absl::Time holder_last_seen = absl::InfinitePast());
  // Returns the write that renews the lease, or nullopt if it is not held.
  std::optional<LeaseWrite> renew(absl::Time now);
  // The last write succeeded, and the row now has this version.
  void onWritten(uint64_t version, const StoreCallTiming& timing);
  // The last write failed, or its outcome is unknown.
  void onWriteFailed();

  // Whether this node holds the lease, as far as it knows.
  bool holds(absl::Time now) const;
  // Whether an order may be sent now.
  bool mayOrder(absl::Time now) const;
  Epoch fence() const { return record_.fence; }
  // The version of the row after the last successful write.
  uint64_t version() const { return version_; }
  absl::Time validUntil() const { return valid_until_; }
  // An order was rejected because a higher fencing token is known, `seen` if reported: a later holder exists.
  void onFenced(Epoch seen = Epoch());

 private:
  Epoch nextFence(absl::Duration store_clock) const;
  absl::Time firstOrderTime(const std::optional<LeaseRecord>& record, uint64_t version,
                            const StoreCallTiming& timing, absl::Time holder_last_seen) const;
  // How long to wait after the last moment at which another holder may have renewed its lease.
  absl::Duration maxHolderWait() const;
  // The time of the first order by what the record says of the previous holder's expiry.
  absl::Time firstOrderTimeByRecord(const LeaseRecord& record, const StoreCallTiming& timing) const;
  // Whether this process wrote the record, with no other holder's acquisition in between.
  bool isOfThisProcess(const LeaseRecord& record) const;
  LeaseWrite prepare(Epoch fence, absl::Duration until, uint64_t version, absl::Time valid_until);

  NodeId self_;
  absl::Duration length_;
  const StoreHistory& history_;
  bool held_ = false;
  LeaseRecord record_;
  uint64_t version_ = 0;
  absl::Time valid_until_ = absl::InfinitePast();
  Epoch highest_fence_;  // that this node has seen or written
  // Of the current run of acquisitions by this process that no other holder interrupted.
  Epoch first_own_fence_;
  uint64_t generation_ = 0;      // of the store's history, when the row was read for the last acquisition
  std::optional<uint64_t> era_;  // of the store, at the same moment
  absl::Time first_order_time_ = absl::InfinitePast();
  StoreCallTiming last_timing_;
  LeaseWrite pending_write_;
  absl::Time pending_valid_until_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
