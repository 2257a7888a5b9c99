// What a gateway tells its peers beside its load: engines that load weights, capabilities of engines and
// placements of shared prompt prefixes. Keeps the latest updates, and which of them each peer was sent. Does
// no I/O and reads no clock.
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>

#include "gateway/peer_digest.h"

namespace quincewick::gateway {

// Where this gateway has an update from.
enum class UpdateOrigin : uint8_t { kOwn, kZone, kFar };

// The updates that are relevant to a peer, by origin. Engine updates are relevant to all peers.
struct RelevantOrigins {
  bool own = false;
  bool zone = false;
  bool far = false;

  bool includes(UpdateOrigin origin) const {
    switch (origin) {
      case UpdateOrigin::kOwn:
        return own;
      case UpdateOrigin::kZone:
        return zone;
      case UpdateOrigin::kFar:
        return far;
    }
    return false;
  }
};

// Number of the last update that a peer was sent, by kind.
struct UpdateCursor {
  uint64_t engine = 0;
  uint64_t capability = 0;
  uint64_t placement = 0;
};

class PeerUpdates {
 public:
  // Replaces the previous update of the same engine.
  void addEngine(const EngineDigest& engine, absl::Time now);
  void addCapability(const CapabilityDigest& capability, UpdateOrigin origin);
  void addPlacement(PlacementDigest placement, UpdateOrigin origin);

  // Drops engine updates that are no longer valid, and queues the others once more after a while, because
  // datagrams get lost.
  void refreshEngines(absl::Time now);

  bool hasEngines(const UpdateCursor& sent) const;
  bool hasPlacements(const UpdateCursor& sent, const RelevantOrigins& origins) const;

  // Adds to a digest what its peer wasn't sent and what fits into a datagram, and advances the cursor.
  void addTo(PeerDigest& digest, UpdateCursor& sent, const RelevantOrigins& origins, absl::Time now) const;

 private:
  struct EngineUpdate {
    uint64_t number = 0;
    EngineDigest engine;
    absl::Time closed_until;
    absl::Time until;   // how long the update is valid
    absl::Time repeat;  // when it is sent once more
  };
  struct CapabilityUpdate {
    uint64_t number = 0;
    CapabilityDigest capability;
    UpdateOrigin origin = UpdateOrigin::kOwn;
  };
  struct PlacementUpdate {
    uint64_t number = 0;
    PlacementDigest placement;
    UpdateOrigin origin = UpdateOrigin::kOwn;
  };

  uint64_t last_number_ = 0;
  std::deque<EngineUpdate> engines_;           // the latest of each engine, by ascending number
  std::deque<CapabilityUpdate> capabilities_;  // the latest of each engine, by ascending number
  std::deque<PlacementUpdate> placements_;     // the latest ones, by ascending number
};

}  // namespace quincewick::gateway
