#include "routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace quincewick::routing {

std::vector<EngineSlot> rendezvousRank(uint64_t key, const EnginePool& pool, size_t count) {
  count = std::min(count, pool.engines.size());
  std::vector<std::pair<uint64_t, size_t>> best;  // weight and place in the pool, the greatest first
  best.reserve(count + 1);
  for (size_t place = 0; place < pool.engines.size(); ++place) {
    const uint64_t weight = rendezvousWeight(key, pool.identity_hashes[place]);
    if (best.size() == count && (count == 0 || weight <= best.back().first)) {
      continue;
    }
    const auto behind = std::find_if(best.begin(), best.end(),
                                     [weight](const auto& ranked) { return ranked.first < weight; });
    best.insert(behind, {weight, place});
    if (best.size() > count) {
      best.pop_back();
    }
  }
  std::vector<EngineSlot> ranked;
  ranked.reserve(best.size());
  for (const auto& [weight, place] : best) {
    ranked.push_back(pool.engines[place]);
  }
  return ranked;
}

}  // namespace quincewick::routing
