#include "forwarding/occupancy_tracker.h"

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

// No stream of a site runs longer; reservations of a crashed gateway expire after this time.
constexpr absl::Duration kReservationLifetime = absl::Seconds(15);
constexpr absl::Duration kExpiryCheckInterval = absl::Milliseconds(500);
// On a site where 1.5 prompts are prefilled beside it, a stream takes 2.4 s at the median and 4 s at the 90th
// percentile.
constexpr absl::Duration kObservationTime = absl::Seconds(4);
constexpr size_t kMaxEngines = 20'000;

}  // namespace

ServerLoad OccupancyTracker::at(uint64_t engine, absl::Time now) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return {};
  }
  dropExpired(found->second, now);
  return found->second.sum;
}

bool OccupancyTracker::isFullyObserved(uint64_t engine, absl::Time now) const {
  const auto found = engines_.find(engine);
  return found != engines_.end() && now - found->second.tracked_since >= kObservationTime;
}

void OccupancyTracker::begin(uint64_t engine, const EngineCapability& initial, absl::Time now) {
  if (engines_.size() >= kMaxEngines) {
    absl::erase_if(engines_, [](const auto& entry) { return entry.second.reservations.empty(); });
  }
  const auto [place, is_new] = engines_.try_emplace(engine);
  if (is_new) {
    place->second.capability = CapabilityEstimator(initial, now);
    place->second.tracked_since = now;
    place->second.last_expiry_check = now;
  }
}

void OccupancyTracker::reserve(const ReservationId& id, uint64_t prefill_tokens, bool waits_for_slot,
                               absl::Time now) {
  begin(id.engine, EngineCapability(), now);
  Engine& engine = engines_.at(id.engine);
  Reservation reservation;
  reservation.prefill_tokens = prefill_tokens;
  reservation.tokens_ahead = engine.sum.prefill_tokens + prefill_tokens;
  reservation.measures_speed = prefill_tokens > 0 && !waits_for_slot;
  reservation.reserved_at = now;
  reservation.expires_at = now + kReservationLifetime;
  if (engine.reservations.try_emplace({id.gateway, id.number}, reservation).second) {
    ++engine.sum.running;
    engine.sum.prefill_tokens += prefill_tokens;
  }
}

void OccupancyTracker::notePrefillDone(const ReservationId& id, absl::Time now) {
  const auto engine = engines_.find(id.engine);
  if (engine == engines_.end()) {
    return;
  }
  const auto found = engine->second.reservations.find({id.gateway, id.number});
  if (found == engine->second.reservations.end()) {
    return;
  }
  Reservation& reservation = found->second;
  engine->second.sum.prefill_tokens -= std::exchange(reservation.prefill_tokens, 0);
  engine->second.last_prefill_reserved_at =
      std::max(engine->second.last_prefill_reserved_at, reservation.reserved_at);
  if (std::exchange(reservation.measures_speed, false)) {
    engine->second.capability.notePrefillDone(reservation.tokens_ahead, now - reservation.reserved_at, now);
  }
}

void OccupancyTracker::release(const ReservationId& id, absl::Duration longest_pause, absl::Time now) {
  const auto engine = engines_.find(id.engine);
  if (engine == engines_.end()) {
    return;
  }
  const auto found = engine->second.reservations.find({id.gateway, id.number});
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

// An overdue prefill reveals a slow or dead engine before any finished one does. A prefill is not overdue if
// a later one is done: then the message about its end was lost.
EngineCapability OccupancyTracker::withOverdue(uint64_t engine, EngineCapability capability,
                                               absl::Time now) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return capability;
  }
  for (const auto& [id, reservation] : found->second.reservations) {
    const bool is_prefill_pending =
        reservation.measures_speed && reservation.reserved_at > found->second.last_prefill_reserved_at;
    if (is_prefill_pending) {
      const absl::Duration elapsed_per_token =
          (now - reservation.reserved_at) / (static_cast<double>(reservation.tokens_ahead) + kPriorTokens);
      capability.prefill_time_per_token = std::max(capability.prefill_time_per_token, elapsed_per_token);
    }
  }
  return capability;
}

void OccupancyTracker::dropExpired(Engine& engine, absl::Time now) {
  if (now - engine.last_expiry_check < kExpiryCheckInterval) {
    return;
  }
  engine.last_expiry_check = now;
  absl::erase_if(engine.reservations, [&](const auto& entry) {
    const bool is_expired = entry.second.expires_at <= now;
    if (is_expired) {
      --engine.sum.running;
      engine.sum.prefill_tokens -= entry.second.prefill_tokens;
    }
    return is_expired;
  });
}

}  // namespace quincewick::forwarding
