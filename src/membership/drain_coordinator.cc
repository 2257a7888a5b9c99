#include "membership/drain_coordinator.h"

#include <algorithm>

namespace quincewick::membership {

std::vector<DrainAction> DrainCoordinator::handle(const DrainEvent& event, absl::Time now) {
  std::vector<DrainAction> actions;
  if (const auto* change = std::get_if<InFlightChanged>(&event)) {
    in_flight_ = change->in_flight;
  }
  if (std::holds_alternative<StopRequested>(event) && phase_ == DrainPhase::kServing) {
    phase_ = DrainPhase::kAnnouncing;
    requested_at_ = now;
    actions.emplace_back(AnnounceLeaving{});
    actions.emplace_back(BecomeUnready{});
  }
  advance(now, actions);
  return actions;
}

void DrainCoordinator::advance(absl::Time now, std::vector<DrainAction>& actions) {
  if (phase_ == DrainPhase::kAnnouncing && now >= announcementEnd()) {
    phase_ = DrainPhase::kDraining;
  }
  if (phase_ != DrainPhase::kDraining) {
    return;
  }
  if (in_flight_ > 0 && !cut_ && now >= streamEnd()) {
    cut_ = true;
    actions.emplace_back(CutStreams{in_flight_});
  }
  if (in_flight_ == 0) {
    phase_ = DrainPhase::kStopped;
    actions.emplace_back(StopProcess{});
  }
}

Result<void> DrainCoordinator::admit(absl::Time now) const {
  const bool refuses = phase_ == DrainPhase::kDraining || phase_ == DrainPhase::kStopped ||
                       (phase_ == DrainPhase::kAnnouncing && now >= announcementEnd());
  if (refuses) {
    return fail(ErrorCode::kUnavailable, "this node is leaving; send the request to another node",
                Execution::kNotRun);
  }
  return outcome::success();
}

absl::Time DrainCoordinator::nextWakeup() const {
  if (phase_ == DrainPhase::kAnnouncing) {
    return announcementEnd();
  }
  if (phase_ == DrainPhase::kDraining && !cut_) {
    return streamEnd();
  }
  return absl::InfiniteFuture();
}

absl::Time DrainCoordinator::streamEnd() const {
  return requested_at_ + std::max(settings_.stream_limit, settings_.announcement_period);
}

}  // namespace quincewick::membership
