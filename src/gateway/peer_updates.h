// What a gateway tells its peers beside its load: engines that load weights, capabilities of engines and
// placements of shared prompt prefixes. Keeps the latest updates, and which of them each peer was sent. Does
// no I/O and reads no clock.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

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
  // Divides placements of more keys than fit into a datagram beside everything else.
  void addPlacement(const PlacementDigest& placement, UpdateOrigin origin);

  // Drops engine updates that are no longer valid, and queues the others once more after a while, because
  // datagrams get lost.
  void refreshEngines(absl::Time now);

  // Whether there are updates that a peer wasn't sent.
  bool hasEngines(const UpdateCursor& sent, absl::Time now) const;
  bool hasAny(const UpdateCursor& sent, const RelevantOrigins& origins, absl::Time now) const;

  // Engine updates that a peer wasn't sent, and since when the oldest of them is known.
  struct Pending {
    size_t engines = 0;
    absl::Time oldest = absl::InfiniteFuture();
  };
  Pending pendingEngines(const UpdateCursor& sent, absl::Time now) const;

  // Adds to a digest what its peer wasn't sent and what fits into a datagram, and advances the cursor. A
  // digest without loads gets at least one update of each kind that is pending.
  void addTo(PeerDigest& digest, UpdateCursor& sent, const RelevantOrigins& origins, absl::Time now) const;
  // The same with engine updates alone, of which a digest without loads gets at least kMinEnginesPerDigest,
  // or all that are pending.
  void addEnginesTo(PeerDigest& digest, UpdateCursor& sent, absl::Time now) const;

 private:
  struct EngineUpdate {
    EngineDigest engine;
    absl::Time added;
    absl::Time closed_until;
    absl::Time until;   // how long the update is valid
    absl::Time repeat;  // when it is sent once more
  };
  struct CapabilityUpdate {
    CapabilityDigest capability;
    UpdateOrigin origin = UpdateOrigin::kOwn;
  };
  struct PlacementUpdate {
    PlacementDigest placement;
    UpdateOrigin origin = UpdateOrigin::kOwn;
  };
  // Adds at most `most` updates, and takes their bytes off `room`.
  void addEngines(PeerDigest& digest, UpdateCursor& sent, size_t most, size_t& room, absl::Time now) const;
  void addCapabilities(PeerDigest& digest, UpdateCursor& sent, const RelevantOrigins& origins, size_t most,
                       size_t& room) const;
  void addPlacements(PeerDigest& digest, UpdateCursor& sent, const RelevantOrigins& origins, size_t most,
                     size_t& room) const;

  uint64_t last_number_ = 0;
  // By number; of engines and capabilities the latest of each server.
  absl::btree_map<uint64_t, EngineUpdate> engines_;
  absl::btree_map<uint64_t, CapabilityUpdate> capabilities_;
  absl::btree_map<uint64_t, PlacementUpdate> placements_;
  absl::flat_hash_map<uint64_t, uint64_t> engine_numbers_;  // by server
  absl::flat_hash_map<uint64_t, uint64_t> capability_numbers_;
};

}  // namespace quincewick::gateway
