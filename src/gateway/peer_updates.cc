#include "gateway/peer_updates.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "peer/envelope.h"

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kRepeatDelay = absl::Milliseconds(300);
constexpr absl::Duration kMinAnnouncementDuration = absl::Milliseconds(1500);
constexpr size_t kMaxCapabilityUpdates = 512;
constexpr size_t kMaxPlacementUpdates = 512;
constexpr size_t kStoreBytes = 8;  // encoded

// 0 from `until` on.
uint32_t millisecondsLeft(absl::Time until, absl::Time now) {
  return static_cast<uint32_t>(absl::ToInt64Milliseconds(std::max(until - now, absl::ZeroDuration())));
}

// Takes an element's bytes off the room; false if they don't fit.
bool takeRoom(size_t& room, size_t bytes) {
  const bool fits = bytes <= room;
  room -= fits ? bytes : 0;
  return fits;
}

}  // namespace

void PeerUpdates::addEngine(const EngineDigest& engine, absl::Time now) {
  const absl::Time closed_until = now + absl::Milliseconds(engine.closed_ms);
  uint64_t& number = engine_numbers_[engine.server];
  engines_.erase(number);
  number = ++last_number_;
  engines_[number] = {engine, closed_until, std::max(closed_until, now + kMinAnnouncementDuration),
                      now + kRepeatDelay};
}

void PeerUpdates::addCapability(const CapabilityDigest& capability, UpdateOrigin origin) {
  uint64_t& number = capability_numbers_[capability.server];
  capabilities_.erase(number);
  number = ++last_number_;
  capabilities_[number] = {capability, origin};
  if (capabilities_.size() > kMaxCapabilityUpdates) {
    capability_numbers_.erase(capabilities_.begin()->second.capability.server);
    capabilities_.erase(capabilities_.begin());
  }
}

void PeerUpdates::addPlacement(PlacementDigest placement, UpdateOrigin origin) {
  placements_[++last_number_] = {std::move(placement), origin};
  if (placements_.size() > kMaxPlacementUpdates) {
    placements_.erase(placements_.begin());
  }
}

void PeerUpdates::refreshEngines(absl::Time now) {
  std::vector<EngineUpdate> repeated;
  for (auto update = engines_.begin(); update != engines_.end();) {
    const bool is_valid = now < update->second.until;
    if (is_valid && now < update->second.repeat) {
      ++update;
      continue;
    }
    if (is_valid) {
      repeated.push_back(update->second);
    } else {
      engine_numbers_.erase(update->second.engine.server);
    }
    update = engines_.erase(update);
  }
  for (EngineUpdate& update : repeated) {
    update.repeat = absl::InfiniteFuture();
    engine_numbers_[update.engine.server] = ++last_number_;
    engines_[last_number_] = update;
  }
}

bool PeerUpdates::hasEngines(const UpdateCursor& sent, absl::Time now) const {
  return std::any_of(engines_.upper_bound(sent.engine), engines_.end(),
                     [now](const auto& update) { return now < update.second.until; });
}

bool PeerUpdates::hasPlacements(const UpdateCursor& sent, const RelevantOrigins& origins) const {
  return std::any_of(placements_.upper_bound(sent.placement), placements_.end(),
                     [&origins](const auto& update) { return origins.includes(update.second.origin); });
}

void PeerUpdates::addEnginesTo(PeerDigest& digest, UpdateCursor& sent, absl::Time now) const {
  size_t room = peer::kMaximumDatagramPayload - std::min(peer::kMaximumDatagramPayload, encodedSize(digest));
  addEngines(digest, sent, room, now);
}

void PeerUpdates::addTo(PeerDigest& digest, UpdateCursor& sent, const RelevantOrigins& origins,
                        absl::Time now) const {
  const size_t load_bytes = digest.load ? kEncodedLoadBytes * digest.load->loads.size() : 0;
  size_t room = kDigestBudgetBytes - load_bytes -
                std::min(kDigestBudgetBytes - load_bytes, kStoreBytes * digest.dead_stores.size());
  addEngines(digest, sent, room, now);
  auto capability = capabilities_.upper_bound(sent.capability);
  for (; capability != capabilities_.end(); ++capability) {
    if (!origins.includes(capability->second.origin)) {
      continue;
    }
    if (!takeRoom(room, kEncodedCapabilityBytes)) {
      break;
    }
    digest.capabilities.push_back(capability->second.capability);
    sent.capability = capability->first;
  }
  auto placement = placements_.upper_bound(sent.placement);
  for (; placement != placements_.end(); ++placement) {
    if (!origins.includes(placement->second.origin)) {
      continue;
    }
    if (!takeRoom(room, encodedSize(placement->second.placement))) {
      break;
    }
    digest.placements.push_back(placement->second.placement);
    sent.placement = placement->first;
  }
}

void PeerUpdates::addEngines(PeerDigest& digest, UpdateCursor& sent, size_t& room, absl::Time now) const {
  for (auto next = engines_.upper_bound(sent.engine); next != engines_.end(); ++next) {
    const EngineUpdate& update = next->second;
    if (now >= update.until) {
      continue;
    }
    if (!takeRoom(room, kEncodedEngineBytes)) {
      return;
    }
    EngineDigest engine = update.engine;
    engine.closed_ms = millisecondsLeft(update.closed_until, now);
    digest.engines.push_back(engine);
    sent.engine = next->first;
  }
}

}  // namespace quincewick::gateway
