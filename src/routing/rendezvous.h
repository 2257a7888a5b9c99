// Rendezvous hashing: every node ranks engines for a key alike without talking, and the loss or gain of one
// engine moves only the keys that it holds or takes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/engine_directory.h"

namespace quincewick::routing {

// Returns the weight of an engine for a key; of two engines the one with the greater weight ranks first.
constexpr uint64_t rendezvousWeight(uint64_t key, uint64_t identity_hash) {
  uint64_t mixed = (key ^ identity_hash) * 0x9E3779B97F4A7C15U;
  mixed ^= mixed >> 32U;
  mixed *= 0xD6E8FEB86659FD93U;
  return mixed ^ (mixed >> 32U);
}

// Returns the `count` engines of the pool that rank first for the key, the first one first; all if fewer.
std::vector<EngineSlot> rendezvousRank(uint64_t key, const EnginePool& pool, size_t count);

}  // namespace quincewick::routing
