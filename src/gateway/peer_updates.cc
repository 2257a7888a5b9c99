#include "gateway/peer_updates.h"

#include <algorithm>
#include <utility>

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kRepeatDelay = absl::Milliseconds(300);
constexpr absl::Duration kMinAnnouncementDuration = absl::Milliseconds(1500);
constexpr size_t kMaxCapabilityUpdates = 512;
constexpr size_t kMaxPlacementUpdates = 512;
// Encoded sizes, in bytes.
constexpr size_t kLoadBytes = 14;
constexpr size_t kEngineBytes = 28;
constexpr size_t kPlacementBytes = 12;  // plus its keys
constexpr size_t kKeyBytes = 16;
constexpr size_t kStoreBytes = 8;
constexpr size_t kCapabilityBytes = 16;

// 0 from `until` on.
uint32_t millisecondsLeft(absl::Time until, absl::Time now) {
  return static_cast<uint32_t>(absl::ToInt64Milliseconds(std::max(until - now, absl::ZeroDuration())));
}

}  // namespace

void PeerUpdates::addEngine(const EngineDigest& engine, absl::Time now) {
  std::erase_if(engines_,
                [&engine](const EngineUpdate& update) { return update.engine.server == engine.server; });
  const absl::Time closed_until = now + absl::Milliseconds(engine.closed_ms);
  engines_.push_back({++last_number_, engine, closed_until,
                      std::max(closed_until, now + kMinAnnouncementDuration), now + kRepeatDelay});
}

void PeerUpdates::addCapability(const CapabilityDigest& capability, UpdateOrigin origin) {
  std::erase_if(capabilities_, [&capability](const CapabilityUpdate& update) {
    return update.capability.server == capability.server;
  });
  capabilities_.push_back({++last_number_, capability, origin});
  if (capabilities_.size() > kMaxCapabilityUpdates) {
    capabilities_.pop_front();
  }
}

void PeerUpdates::addPlacement(PlacementDigest placement, UpdateOrigin origin) {
  placements_.push_back({++last_number_, std::move(placement), origin});
  if (placements_.size() > kMaxPlacementUpdates) {
    placements_.pop_front();
  }
}

void PeerUpdates::refreshEngines(absl::Time now) {
  std::erase_if(engines_, [now](const EngineUpdate& update) { return update.until <= now; });
  for (EngineUpdate& update : engines_) {
    if (now >= update.repeat) {
      update.number = ++last_number_;
      update.repeat = absl::InfiniteFuture();
    }
  }
  std::sort(engines_.begin(), engines_.end(),
            [](const EngineUpdate& left, const EngineUpdate& right) { return left.number < right.number; });
}

bool PeerUpdates::hasEngines(const UpdateCursor& sent) const {
  return !engines_.empty() && sent.engine < engines_.back().number;
}

bool PeerUpdates::hasPlacements(const UpdateCursor& sent, const RelevantOrigins& origins) const {
  return std::any_of(placements_.begin(), placements_.end(), [&](const PlacementUpdate& update) {
    return update.number > sent.placement && origins.includes(update.origin);
  });
}

void PeerUpdates::addTo(PeerDigest& digest, UpdateCursor& sent, const RelevantOrigins& origins,
                        absl::Time now) const {
  const size_t load_bytes = digest.load ? kLoadBytes * digest.load->loads.size() : 0;
  size_t room = kDigestBudgetBytes - load_bytes -
                std::min(kDigestBudgetBytes - load_bytes, kStoreBytes * digest.dead_stores.size());
  for (const EngineUpdate& update : engines_) {
    if (update.number > sent.engine && now < update.until && room >= kEngineBytes) {
      EngineDigest engine = update.engine;
      engine.closed_ms = millisecondsLeft(update.closed_until, now);
      digest.engines.push_back(engine);
      sent.engine = update.number;
      room -= kEngineBytes;
    }
  }
  for (const CapabilityUpdate& update : capabilities_) {
    if (update.number <= sent.capability || !origins.includes(update.origin)) {
      continue;
    }
    if (room < kCapabilityBytes) {
      break;
    }
    digest.capabilities.push_back(update.capability);
    sent.capability = update.number;
    room -= kCapabilityBytes;
  }
  for (const PlacementUpdate& update : placements_) {
    if (update.number <= sent.placement || !origins.includes(update.origin)) {
      continue;
    }
    const size_t bytes = kPlacementBytes + kKeyBytes * update.placement.keys.size();
    if (bytes > room) {
      break;
    }
    digest.placements.push_back(update.placement);
    sent.placement = update.number;
    room -= bytes;
  }
}

}  // namespace quincewick::gateway
