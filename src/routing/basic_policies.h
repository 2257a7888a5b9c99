// Policies that serve as baselines, and as parts of others.
#pragma once

#include <cstdint>

#include "routing/placement_policy.h"

namespace quincewick::routing {

// Each engine of the pool in turn.
class RoundRobin final : public PlacementPolicy {
 public:
  explicit RoundRobin(const EngineDirectory& directory) : directory_(directory) {}
  EngineChoice choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) override;

 private:
  const EngineDirectory& directory_;
  uint64_t next_ = 0;
};

// The engine with the shortest expected wait, by reports and own work in flight; knows nothing of caches.
class LeastLoaded final : public PlacementPolicy {
 public:
  explicit LeastLoaded(const EngineDirectory& directory) : directory_(directory) {}
  EngineChoice choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) override;

 private:
  const EngineDirectory& directory_;
};

// The first engine by rendezvous hashing of the prompt's leading blocks; knows nothing of load.
class PureHash final : public PlacementPolicy {
 public:
  // `trunk_blocks`: how many leading blocks make the key; at least 1.
  PureHash(const EngineDirectory& directory, uint32_t trunk_blocks)
      : directory_(directory), trunk_blocks_(trunk_blocks) {}
  EngineChoice choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) override;

 private:
  const EngineDirectory& directory_;
  uint32_t trunk_blocks_;
};

}  // namespace quincewick::routing
