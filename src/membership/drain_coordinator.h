// A planned stop of this node: announce it, take nothing new, let streams end, then stop.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <variant>
#include <vector>

#include "types/error.h"

namespace quincewick::membership {

struct DrainSettings {
  // After the stop is asked for, callers and peers still may not know of it for this long: what they send is
  // taken. Later arrivals are refused.
  absl::Duration announcement_period = absl::Seconds(3);
  // Streams that still run after this are cut with an error event. Counted from the request to stop.
  absl::Duration stream_limit = absl::Seconds(120);
};

// Events.

// The operator or the platform asks the process to stop. Repeats change nothing.
struct StopRequested {};
// The number of requests and streams in flight has changed.
struct InFlightChanged {
  uint32_t in_flight = 0;
};
// Time has passed; due at nextWakeup().
struct DrainTick {};

using DrainEvent = std::variant<StopRequested, InFlightChanged, DrainTick>;

// Actions.

// Tell the peers (LeaveRequested to the membership protocol).
struct AnnounceLeaving {};
// From now on readyz answers 503, so that callers' balancers turn away.
struct BecomeUnready {};
// The limit is over: end these streams with an error event that callers can see.
struct CutStreams {
  uint32_t in_flight = 0;
};
// Nothing is in flight any more: tell the peers (LeaveFinished) and end the process.
struct StopProcess {};

using DrainAction = std::variant<AnnounceLeaving, BecomeUnready, CutStreams, StopProcess>;

enum class DrainPhase : uint8_t {
  kServing,     // no stop was asked for
  kAnnouncing,  // the stop is being announced; arrivals are still taken
  kDraining,    // arrivals are refused, streams in flight go on
  kStopped,     // StopProcess was returned
};

// Pure; the owner serialises the calls.
class DrainCoordinator {
 public:
  explicit DrainCoordinator(const DrainSettings& settings) : settings_(settings) {}

  std::vector<DrainAction> handle(const DrainEvent& event, absl::Time now);

  // Success when a request that arrives now may be taken; else kUnavailable, not run, to be sent elsewhere.
  Result<void> admit(absl::Time now) const;

  // When the next DrainTick is due; the infinite future if none is.
  absl::Time nextWakeup() const;
  DrainPhase phase() const { return phase_; }

 private:
  void advance(absl::Time now, std::vector<DrainAction>& actions);
  absl::Time announcementEnd() const { return requested_at_ + settings_.announcement_period; }
  absl::Time streamEnd() const;

  DrainSettings settings_;
  DrainPhase phase_ = DrainPhase::kServing;
  absl::Time requested_at_ = absl::InfiniteFuture();
  uint32_t in_flight_ = 0;
  bool cut_ = false;
};

}  // namespace quincewick::membership
