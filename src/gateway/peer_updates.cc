#include "gateway/peer_updates.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "peer/envelope.h"

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kRepeatDelay = absl::Milliseconds(300);
constexpr absl::Duration kMinAnnouncementDuration = absl::Milliseconds(1500);
constexpr size_t kMaxCapabilityUpdates = 512;
constexpr size_t kMaxPlacementUpdates = 512;
constexpr size_t kAll = std::numeric_limits<size_t>::max();

// 0 from `until` on.
uint32_t millisecondsLeft(absl::Time until, absl::Time now) {
  return static_cast<uint32_t>(absl::ToInt64Milliseconds(std::max(until - now, absl::ZeroDuration())));
}

size_t roomIn(const PeerDigest& digest) {
  const size_t size = encodedSize(digest);
  return peer::kMaximumDatagramPayload - std::min(peer::kMaximumDatagramPayload, size);
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
  engines_[number] = {engine, now, closed_until, std::max(closed_until, now + kMinAnnouncementDuration),
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

void PeerUpdates::addPlacement(const PlacementDigest& placement, UpdateOrigin origin) {
  for (size_t begin = 0; begin < placement.keys.size(); begin += kMaxKeysPerPlacement) {
    const size_t end = std::min(begin + kMaxKeysPerPlacement, placement.keys.size());
    const auto keys = placement.keys.begin();
    PlacementDigest part{placement.server,
                         {keys + static_cast<ptrdiff_t>(begin), keys + static_cast<ptrdiff_t>(end)}};
    placements_[++last_number_] = {std::move(part), origin};
  }
  while (placements_.size() > kMaxPlacementUpdates) {
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

PeerUpdates::Pending PeerUpdates::pendingEngines(const UpdateCursor& sent, absl::Time now) const {
  Pending pending;
  for (auto update = engines_.upper_bound(sent.engine); update != engines_.end(); ++update) {
    if (now < update->second.until) {
      ++pending.engines;
      pending.oldest = std::min(pending.oldest, update->second.added);
    }
  }
  return pending;
}

bool PeerUpdates::hasAny(const UpdateCursor& sent, const RelevantOrigins& origins, absl::Time now) const {
  const auto is_relevant = [&origins](const auto& update) { return origins.includes(update.second.origin); };
  return hasEngines(sent, now) ||
         std::any_of(capabilities_.upper_bound(sent.capability), capabilities_.end(), is_relevant) ||
         std::any_of(placements_.upper_bound(sent.placement), placements_.end(), is_relevant);
}

void PeerUpdates::addEnginesTo(PeerDigest& digest, UpdateCursor& sent, absl::Time now) const {
  size_t room = roomIn(digest);
  addEngines(digest, sent, kAll, room, now);
}

// One of each kind first: none waits until all of the others are sent.
void PeerUpdates::addTo(PeerDigest& digest, UpdateCursor& sent, const RelevantOrigins& origins,
                        absl::Time now) const {
  size_t room = roomIn(digest);
  for (const size_t most : {size_t{1}, kAll}) {
    addEngines(digest, sent, most, room, now);
    addCapabilities(digest, sent, origins, most, room);
    addPlacements(digest, sent, origins, most, room);
  }
}

void PeerUpdates::addEngines(PeerDigest& digest, UpdateCursor& sent, size_t most, size_t& room,
                             absl::Time now) const {
  size_t added = 0;
  for (auto next = engines_.upper_bound(sent.engine); next != engines_.end() && added < most; ++next) {
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
    ++added;
  }
}

void PeerUpdates::addCapabilities(PeerDigest& digest, UpdateCursor& sent, const RelevantOrigins& origins,
                                  size_t most, size_t& room) const {
  size_t added = 0;
  auto next = capabilities_.upper_bound(sent.capability);
  for (; next != capabilities_.end() && added < most; ++next) {
    if (!origins.includes(next->second.origin)) {
      continue;
    }
    if (!takeRoom(room, kEncodedCapabilityBytes)) {
      return;
    }
    digest.capabilities.push_back(next->second.capability);
    sent.capability = next->first;
    ++added;
  }
}

void PeerUpdates::addPlacements(PeerDigest& digest, UpdateCursor& sent, const RelevantOrigins& origins,
                                size_t most, size_t& room) const {
  size_t added = 0;
  auto next = placements_.upper_bound(sent.placement);
  for (; next != placements_.end() && added < most; ++next) {
    if (!origins.includes(next->second.origin)) {
      continue;
    }
    if (!takeRoom(room, encodedSize(next->second.placement))) {
      return;
    }
    digest.placements.push_back(next->second.placement);
    sent.placement = next->first;
    ++added;
  }
}

}  // namespace quincewick::gateway
