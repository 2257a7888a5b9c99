#include "routing/basic_policies.h"

#include <absl/hash/hash.h>
#include <absl/random/distributions.h>
#include <xxhash.h>

#include <algorithm>

#include "routing/rendezvous.h"

namespace quincewick::routing {
namespace {

// The choice of one engine whose cache is taken to hold nothing of the prompt.
EngineChoice withoutCache(const EngineDirectory& directory, const PlacementQuery& query, EngineNumber engine,
                          absl::Time now) {
  const auto uncached = static_cast<double>(query.request.prompt.size());
  EngineChoice choice;
  choice.chosen = {engine, directory.expectedFirstToken(engine, query.urgency, uncached, now), 0};
  return choice;
}

}  // namespace

EngineChoice RoundRobin::choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef /*random*/) {
  const EngineNumber engine = query.pool.engines[next_++ % query.pool.engines.size()];
  return withoutCache(directory_, query, engine, now);
}

EngineChoice LeastLoaded::choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) {
  const auto& engines = query.pool.engines;
  // Starts anywhere, so that equals share the work.
  const size_t start = absl::Uniform<size_t>(random, 0, engines.size());
  EngineNumber best = engines[start];
  EngineBacklog shortest = directory_.backlog(best, query.urgency, now);
  for (size_t step = 1; step < engines.size(); ++step) {
    const EngineNumber engine = engines[(start + step) % engines.size()];
    const EngineBacklog backlog = directory_.backlog(engine, query.urgency, now);
    const bool shorter = backlog.tokens < shortest.tokens ||
                         (backlog.tokens == shortest.tokens && backlog.running < shortest.running);
    if (shorter) {
      best = engine;
      shortest = backlog;
    }
  }
  return withoutCache(directory_, query, best, now);
}

EngineChoice PureHash::choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef /*random*/) {
  const auto& blocks = query.request.prompt.blocks;
  const std::string& id = query.request.id.value();
  const uint64_t key = blocks.empty() ? XXH3_64bits(id.data(), id.size())
                                      : blocks[std::min<size_t>(trunk_blocks_, blocks.size()) - 1].low;
  return withoutCache(directory_, query, rendezvousRank(key, query.pool, 1).front(), now);
}

}  // namespace quincewick::routing
