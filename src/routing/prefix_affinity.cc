#include "routing/prefix_affinity.h"

#include <absl/random/distributions.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace quincewick::routing {
namespace {

constexpr size_t kMaximumAlternatives = 3;

const prefix::PrefixView::Holder* holderOf(const prefix::PrefixView& view, EngineNumber engine) {
  const auto holder =
      std::lower_bound(view.holders.begin(), view.holders.end(), engine,
                       [](const auto& known, EngineNumber wanted) { return known.engine < wanted; });
  return holder == view.holders.end() || holder->engine != engine ? nullptr : &*holder;
}

void addOnce(std::vector<EngineNumber>& engines, EngineNumber engine) {
  if (std::find(engines.begin(), engines.end(), engine) == engines.end()) {
    engines.push_back(engine);
  }
}

}  // namespace

PrefixAffinity::Trunk PrefixAffinity::trunkOf(const PlacementQuery& query,
                                              const prefix::PrefixView& view) const {
  const auto& blocks = query.request.prompt.blocks;
  Trunk trunk;
  trunk.replicas = settings_.hash_candidates;
  if (blocks.empty()) {
    const std::string& id = query.request.id.value();
    trunk.key = XXH3_64bits(id.data(), id.size());
    return trunk;
  }
  const auto engines = static_cast<double>(query.pool.engines.size());
  const double all = std::max(1.0, static_cast<double>(view.all_requests));
  size_t depth = 0;
  // The work that the requests through this depth bring, in engines.
  const auto worth = [&](size_t at_depth) { return view.requests[at_depth] / all * engines; };
  while (depth + 1 < blocks.size() && worth(depth) > settings_.engine_share &&
         view.requests[depth + 1] >= settings_.shared_requests) {
    ++depth;
  }
  trunk.key = blocks[depth].low;
  const double deserved = std::ceil(worth(depth) / settings_.engine_share);
  trunk.replicas = static_cast<uint32_t>(std::clamp(deserved, static_cast<double>(settings_.hash_candidates),
                                                    static_cast<double>(settings_.maximum_replicas)));
  return trunk;
}

std::vector<EngineNumber> PrefixAffinity::longestHolders(const EnginePool& pool,
                                                         const prefix::PrefixView& view) const {
  std::vector<prefix::PrefixView::Holder> holders;
  std::copy_if(view.holders.begin(), view.holders.end(), std::back_inserter(holders),
               [&pool](const auto& holder) { return pool.contains(holder.engine); });
  const size_t kept = std::min<size_t>(holders.size(), settings_.maximum_holders);
  std::partial_sort(holders.begin(), holders.begin() + static_cast<std::ptrdiff_t>(kept), holders.end(),
                    [](const auto& left, const auto& right) {
                      return std::tie(right.possible_blocks, left.engine) <
                             std::tie(left.possible_blocks, right.engine);
                    });
  std::vector<EngineNumber> engines;
  for (size_t place = 0; place < kept; ++place) {
    engines.push_back(holders[place].engine);
  }
  return engines;
}

std::vector<EngineNumber> PrefixAffinity::candidates(const EnginePool& pool, const Trunk& trunk,
                                                     const prefix::PrefixView& view, absl::BitGenRef random) {
  const std::vector<EngineNumber>& ranked = ranks_.rank(trunk.key, pool, trunk.replicas);
  const size_t home_count = std::min<size_t>(trunk.replicas, ranked.size());
  std::vector<EngineNumber> engines;
  engines.reserve(home_count + settings_.maximum_holders + settings_.random_candidates);
  engines.assign(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(home_count));
  for (const EngineNumber engine : longestHolders(pool, view)) {
    addOnce(engines, engine);
  }
  for (uint32_t draw = 0; draw < settings_.random_candidates; ++draw) {
    addOnce(engines, pool.engines[absl::Uniform<size_t>(random, 0, pool.engines.size())]);
  }
  return engines;
}

PrefixAffinity::Candidate PrefixAffinity::weigh(const PlacementQuery& query, EngineNumber engine,
                                                const prefix::PrefixView& view, absl::Time now) const {
  const PrefixChain& prompt = query.request.prompt;
  double cached_blocks = 0;
  if (const auto* holder = holderOf(view, engine)) {
    cached_blocks = holder->certain_blocks +
                    settings_.doubtful_weight * (holder->possible_blocks - holder->certain_blocks);
  }
  const double uncached = static_cast<double>(prompt.size()) - cached_blocks * prompt.block_size;
  const double weight = settings_.recompute_weight[static_cast<size_t>(query.urgency)];
  Candidate candidate{engine, cached_blocks};
  candidate.first_token_seconds = directory_.expectedFirstTokenSeconds(engine, query.urgency, uncached, now);
  candidate.cost =
      candidate.first_token_seconds + (weight - 1.0) * uncached * directory_.prefillSecondsPerToken();
  return candidate;
}

ScoredEngine PrefixAffinity::scored(const Candidate& candidate) {
  return {candidate.engine, absl::Seconds(candidate.first_token_seconds),
          static_cast<uint32_t>(candidate.cached_blocks)};
}

std::optional<ImportPlan> PrefixAffinity::importPlan(const PlacementQuery& query, const ScoredEngine& chosen,
                                                     const prefix::PrefixView& view) const {
  const absl::Duration recompute_block =
      directory_.settings().cost.prefill_per_token * query.request.prompt.block_size;
  if (!settings_.import || settings_.import_per_block >= recompute_block) {
    return std::nullopt;
  }
  ImportPlan plan;
  plan.first_block = chosen.expected_cached_blocks;
  for (const auto& holder : view.holders) {
    const uint32_t movable = holder.certain_blocks - std::min(holder.certain_blocks, plan.first_block);
    if (holder.engine != chosen.engine && movable > plan.block_count && directory_.ready(holder.engine)) {
      plan.source = holder.engine;
      plan.block_count = movable;
    }
  }
  return plan.block_count > 0 ? std::optional(plan) : std::nullopt;
}

void PrefixAffinity::weighPool(const PlacementQuery& query, const EnginePool& pool,
                               const prefix::PrefixView& view, absl::Time now, absl::BitGenRef random,
                               std::vector<Candidate>& weighed) {
  const Trunk trunk = trunkOf(query, view);
  bool home = true;
  for (const EngineNumber engine : candidates(pool, trunk, view, random)) {
    Candidate candidate = weigh(query, engine, view, now);
    candidate.cost -= home ? absl::ToDoubleSeconds(settings_.home_bonus) : 0.0;
    home = false;
    weighed.push_back(candidate);
  }
}

EngineChoice PrefixAffinity::choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) {
  const prefix::PrefixView view = index_.observe(query.request.prompt, now);
  std::vector<Candidate> weighed;
  weighPool(query, query.pool, view, now, random, weighed);
  const auto cheaper = [](const Candidate& left, const Candidate& right) { return left.cost < right.cost; };
  const auto nearest = std::min_element(weighed.begin(), weighed.end(), cheaper);
  const bool spill = query.farther != nullptr &&
                     nearest->first_token_seconds > absl::ToDoubleSeconds(settings_.spill_threshold);
  if (spill) {
    weighPool(query, *query.farther, view, now, random, weighed);
  }
  const size_t kept = std::min(weighed.size(), kMaximumAlternatives + 1);
  std::partial_sort(weighed.begin(), weighed.begin() + static_cast<std::ptrdiff_t>(kept), weighed.end(),
                    cheaper);
  EngineChoice choice;
  choice.chosen = scored(weighed.front());
  choice.alternatives.reserve(kept - 1);
  for (size_t place = 1; place < kept; ++place) {
    choice.alternatives.push_back(scored(weighed[place]));
  }
  choice.import = importPlan(query, choice.chosen, view);
  return choice;
}

}  // namespace quincewick::routing
