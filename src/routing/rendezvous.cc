#include "routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace quincewick::routing {

std::vector<EngineNumber> rendezvousRank(uint64_t key, const EnginePool& pool, size_t count) {
  count = std::min(count, pool.engines.size());
  std::vector<std::pair<uint64_t, size_t>> best;  // weight and place in the pool, the greatest first
  best.reserve(count + 1);
  uint64_t least = 0;  // weight that an engine must have to get among the best
  for (size_t place = 0; place < pool.engines.size() && count > 0; ++place) {
    const uint64_t weight = rendezvousWeight(key, pool.identity_hashes[place]);
    if (weight < least) {
      continue;
    }
    const auto behind = std::find_if(best.begin(), best.end(),
                                     [weight](const auto& ranked) { return ranked.first < weight; });
    best.insert(behind, {weight, place});
    if (best.size() > count) {
      best.pop_back();
    }
    least = best.size() == count ? best.back().first : 0;
  }
  std::vector<EngineNumber> ranked;
  ranked.reserve(best.size());
  for (const auto& [weight, place] : best) {
    ranked.push_back(pool.engines[place]);
  }
  return ranked;
}

const std::vector<EngineNumber>& RankCache::rank(uint64_t key, const EnginePool& pool, size_t count) {
  Entry& entry = entries_[key % kEntries];
  const bool known = pool.generation != 0 && entry.generation == pool.generation && entry.key == key &&
                     entry.ranked.size() >= std::min(count, pool.engines.size());
  if (!known) {
    entry = {key, pool.generation, rendezvousRank(key, pool, std::min(count, kMaximumRanked))};
  }
  return entry.ranked;
}

}  // namespace quincewick::routing
