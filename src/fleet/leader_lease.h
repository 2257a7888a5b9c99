// Who leads the fleet: a lease in the platform's table, with an epoch that fences the orders of older
// holders.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "fleet/records.h"
#include "types/identifiers.h"
#include "types/platform.h"

namespace quincewick::fleet {

struct LeaseSettings {
  absl::Duration length = absl::Seconds(4);
  // Clocks of two nodes may differ in rate by this share: a holder stops that much earlier, a candidate waits
  // that much longer.
  double clock_drift = 0.05;
  absl::Duration call_timeout = absl::Seconds(1);  // a call without a reply for this long is given up

  absl::Duration renewInterval() const { return length / 4; }
  absl::Duration pollInterval() const { return length / 4; }
  absl::Duration heldFor() const { return length * (1.0 - clock_drift); }
  absl::Duration waitFor() const { return length * (1.0 + clock_drift); }
};

// Takes, renews and loses the lease. Pure; the owner serialises the calls. `now` is the node's own clock and
// must never go back. At most one call to the table is in flight; the owner tags it, and hands its result
// back with the time at which it was sent.
class LeaderLease {
 public:
  LeaderLease(LeaseSettings settings, NodeId self, Incarnation incarnation)
      : settings_(settings), self_(std::move(self)), incarnation_(incarnation) {}

  // Only candidates take the lease or read it. A holder that is no candidate any more keeps what it has.
  void setCandidate(bool is_candidate) { is_candidate_ = is_candidate; }

  // What to ask of the table now, if anything.
  std::optional<PlatformRequest> nextCall(absl::Time now);

  // The result of the call that was last returned, or nothing if it was given up.
  void takeResult(const std::optional<PlatformResult>& result, absl::Time now);

  // True while no other node can hold the lease, by this node's own clock.
  bool isHeld(absl::Time now) const { return held_epoch_ && now < held_until_; }
  // The epoch of the lease held now or last.
  Epoch epoch() const { return held_epoch_.value_or(Epoch()); }
  // The window as the change of holder found it, and its version now. Of use right after the lease was taken.
  const WindowRecord& windowAtTakeover() const { return window_; }
  uint64_t windowVersionAtTakeover() const { return window_version_; }

  // An engine or the table has shown a later epoch: stops holding at once.
  void lose();

  // When nextCall() or isHeld() may give something else.
  absl::Time nextWakeup(absl::Time now) const;

 private:
  enum class Call : uint8_t { kNone, kRead, kAcquire, kRenew };

  uint64_t nextRenewal() const;
  PlatformRequest read();
  PlatformRequest acquire(absl::Time now);
  PlatformRequest renew(absl::Time now);
  void takeItems(const std::vector<TableItem>& items, absl::Time now);
  void takeCommitted(const TableCommitted& committed);
  void takeLeaseItem(const TableItem& item, absl::Time now);
  void hold(const LeaseRecord& record);

  LeaseSettings settings_;
  NodeId self_;
  Incarnation incarnation_;
  bool is_candidate_ = false;

  Call call_ = Call::kNone;
  absl::Time next_call_ = absl::InfinitePast();

  // The table as last read.
  bool has_read_ = false;
  LeaseRecord record_;
  uint64_t record_version_ = kAbsentItemVersion;
  absl::Time record_seen_ = absl::InfinitePast();  // when this version was first read
  WindowRecord window_;
  uint64_t window_version_ = kAbsentItemVersion;

  // The last record that this node tried to write, and when: it may turn up in the table later.
  LeaseRecord attempt_;
  absl::Time attempt_sent_ = absl::InfinitePast();
  bool must_read_ = true;

  std::optional<Epoch> held_epoch_;
  absl::Time held_until_ = absl::InfinitePast();
};

}  // namespace quincewick::fleet
