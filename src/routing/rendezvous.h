// Rendezvous hashing: every node ranks engines for a key alike without talking, and the loss or gain of one
// engine moves only the keys that it holds or takes.
#pragma once

#include <absl/numeric/int128.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/engine_directory.h"

namespace quincewick::routing {

// Returns the weight of an engine for a key; of two engines the one with the greater weight ranks first. Both
// arguments must be well mixed already: one wide product folded onto itself then spreads them evenly.
inline uint64_t rendezvousWeight(uint64_t key, uint64_t identity_hash) {
  constexpr uint64_t multiplier = 0x9E3779B97F4A7C15U;
  const absl::uint128 product = absl::uint128(key ^ identity_hash) * multiplier;
  return absl::Uint128High64(product) ^ absl::Uint128Low64(product);
}

// Returns the `count` engines of the pool that rank first for the key, the first one first; all if fewer.
std::vector<EngineNumber> rendezvousRank(uint64_t key, const EnginePool& pool, size_t count);

// Remembers the ranks of recent keys, for trunks are few and pools change seldom. Bounded.
class RankCache {
 public:
  // As rendezvousRank with at most kMaximumRanked engines. Pools of generation 0 aren't remembered.
  const std::vector<EngineNumber>& rank(uint64_t key, const EnginePool& pool, size_t count);

  static constexpr size_t kMaximumRanked = 8;

 private:
  static constexpr size_t kEntries = 1024;

  struct Entry {
    uint64_t key = 0;
    uint64_t generation = 0;
    std::vector<EngineNumber> ranked;
  };

  std::vector<Entry> entries_ = std::vector<Entry>(kEntries);
};

}  // namespace quincewick::routing
