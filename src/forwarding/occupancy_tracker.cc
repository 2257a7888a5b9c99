#include "forwarding/occupancy_tracker.h"

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

// No stream of a site runs longer, and what a dead gateway reserved is void by then.
constexpr absl::Duration kLongestReservation = absl::Seconds(15);
constexpr absl::Duration kLookInterval = absl::Milliseconds(500);  // for what lapsed
// A stream takes 2.4 s at the median of a site where 1.5 prompts are read beside it; 4 s for nine in ten.
constexpr absl::Duration kNewBooks = absl::Seconds(4);
constexpr size_t kEnginesAtMost = 20'000;

}  // namespace

ServerLoad OccupancyTracker::at(uint64_t engine, absl::Time now) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return {};
  }
  dropLapsed(found->second, now);
  return found->second.sum;
}

bool OccupancyTracker::isFullyObserved(uint64_t engine, absl::Time now) const {
  const auto found = engines_.find(engine);
  return found != engines_.end() && now - found->second.begun >= kNewBooks;
}

void OccupancyTracker::begin(uint64_t engine, const EngineCapability& told, absl::Time now) {
  if (engines_.size() >= kEnginesAtMost) {
    absl::erase_if(engines_, [](const auto& entry) { return entry.second.reservations.empty(); });
  }
  const auto [place, is_new] = engines_.try_emplace(engine);
  if (is_new) {
    place->second.capability = CapabilityEstimator(told, now);
    place->second.begun = now;
    place->second.looked_through = now;
  }
}

void OccupancyTracker::reserve(const ReservationId& name, uint64_t prefill_tokens, bool waits_for_slot,
                               absl::Time now) {
  begin(name.engine, EngineCapability(), now);
  Engine& engine = engines_.at(name.engine);
  Reservation reservation;
  reservation.prefill_tokens = prefill_tokens;
  reservation.tokens_ahead = engine.sum.prefill_tokens + prefill_tokens;
  reservation.tells_speed = prefill_tokens > 0 && !waits_for_slot;
  reservation.begun = now;
  reservation.lapses = now + kLongestReservation;
  if (engine.reservations.try_emplace({name.gateway, name.number}, reservation).second) {
    ++engine.sum.running;
    engine.sum.prefill_tokens += prefill_tokens;
  }
}

void OccupancyTracker::notePrefillDone(const ReservationId& name, absl::Time now) {
  const auto engine = engines_.find(name.engine);
  if (engine == engines_.end()) {
    return;
  }
  const auto found = engine->second.reservations.find({name.gateway, name.number});
  if (found == engine->second.reservations.end()) {
    return;
  }
  Reservation& reservation = found->second;
  engine->second.sum.prefill_tokens -= std::exchange(reservation.prefill_tokens, 0);
  engine->second.last_read_begun = std::max(engine->second.last_read_begun, reservation.begun);
  if (std::exchange(reservation.tells_speed, false)) {
    engine->second.capability.notePrefillDone(reservation.tokens_ahead, now - reservation.begun, now);
  }
}

void OccupancyTracker::release(const ReservationId& name, absl::Duration longest_pause, absl::Time now) {
  const auto engine = engines_.find(name.engine);
  if (engine == engines_.end()) {
    return;
  }
  const auto found = engine->second.reservations.find({name.gateway, name.number});
  if (found == engine->second.reservations.end()) {
    return;
  }
  engine->second.sum.prefill_tokens -= found->second.prefill_tokens;
  --engine->second.sum.running;
  engine->second.reservations.erase(found);
  if (longest_pause > absl::ZeroDuration()) {
    engine->second.capability.notePause(longest_pause, now);
  }
}

EngineCapability OccupancyTracker::capability(uint64_t engine, absl::Time now) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? EngineCapability() : found->second.capability.at(now);
}

// A prompt that should have been read long ago tells of a slow or dead engine before any reading does. One
// behind which others were read is not overdue: the message about its reading was lost.
EngineCapability OccupancyTracker::withOverdue(uint64_t engine, EngineCapability capability,
                                               absl::Time now) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return capability;
  }
  for (const auto& [name, reservation] : found->second.reservations) {
    const bool is_awaited = reservation.tells_speed && reservation.begun > found->second.last_read_begun;
    if (is_awaited) {
      const absl::Duration so_far =
          (now - reservation.begun) / (static_cast<double>(reservation.tokens_ahead) + kPriorTokens);
      capability.read_per_token = std::max(capability.read_per_token, so_far);
    }
  }
  return capability;
}

void OccupancyTracker::dropLapsed(Engine& engine, absl::Time now) {
  if (now - engine.looked_through < kLookInterval) {
    return;
  }
  engine.looked_through = now;
  absl::erase_if(engine.reservations, [&](const auto& entry) {
    const bool is_over = entry.second.lapses <= now;
    if (is_over) {
      --engine.sum.running;
      engine.sum.prefill_tokens -= entry.second.prefill_tokens;
    }
    return is_over;
  });
}

}  // namespace quincewick::forwarding
