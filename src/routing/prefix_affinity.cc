#include "routing/prefix_affinity.h"

#include <absl/random/distributions.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "routing/rendezvous.h"

namespace quincewick::routing {
namespace {

constexpr size_t kMaximumAlternatives = 3;

const prefix::TrunkView::Holder* holderOf(const prefix::TrunkView& view, EngineSlot engine) {
  const auto holder =
      std::lower_bound(view.holders.begin(), view.holders.end(), engine,
                       [](const auto& known, EngineSlot wanted) { return known.engine < wanted; });
  return holder == view.holders.end() || holder->engine != engine ? nullptr : &*holder;
}

void addOnce(std::vector<EngineSlot>& engines, EngineSlot engine) {
  if (std::find(engines.begin(), engines.end(), engine) == engines.end()) {
    engines.push_back(engine);
  }
}

}  // namespace

PrefixAffinity::Trunk PrefixAffinity::trunkOf(const PlacementQuery& query,
                                              const prefix::TrunkView& view) const {
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

std::vector<EngineSlot> PrefixAffinity::candidates(const EnginePool& pool, const Trunk& trunk,
                                                   const prefix::TrunkView& view,
                                                   absl::BitGenRef random) const {
  std::vector<EngineSlot> engines = rendezvousRank(trunk.key, pool, trunk.replicas);
  if (pool.engines.size() <= settings_.weigh_all_limit) {
    for (const EngineSlot engine : pool.engines) {
      addOnce(engines, engine);
    }
    return engines;
  }
  for (const auto& holder : view.holders) {
    if (engines.size() < settings_.weigh_all_limit && pool.contains(holder.engine)) {
      addOnce(engines, holder.engine);
    }
  }
  for (uint32_t draw = 0; draw < settings_.random_candidates; ++draw) {
    addOnce(engines, pool.engines[absl::Uniform<size_t>(random, 0, pool.engines.size())]);
  }
  return engines;
}

PrefixAffinity::Candidate PrefixAffinity::weigh(const PlacementQuery& query, EngineSlot engine,
                                                const prefix::TrunkView& view, absl::Time now) const {
  const PrefixChain& prompt = query.request.prompt;
  double cached_blocks = 0;
  if (const auto* holder = holderOf(view, engine)) {
    cached_blocks = holder->certain_blocks +
                    settings_.doubtful_weight * (holder->possible_blocks - holder->certain_blocks);
  }
  const double uncached = static_cast<double>(prompt.size()) - cached_blocks * prompt.block_size;
  const double prefill = absl::ToDoubleSeconds(directory_.settings().cost.prefill_per_token);
  const double weight = settings_.recompute_weight[static_cast<size_t>(query.urgency)];
  Candidate candidate;
  candidate.scored.engine = engine;
  candidate.scored.expected_cached_blocks = static_cast<uint32_t>(cached_blocks);
  candidate.scored.expected_first_token = directory_.expectedFirstToken(engine, query.urgency, uncached, now);
  candidate.cost =
      absl::ToDoubleSeconds(candidate.scored.expected_first_token) + (weight - 1.0) * uncached * prefill;
  return candidate;
}

void PrefixAffinity::weighPool(const PlacementQuery& query, const EnginePool& pool,
                               const prefix::TrunkView& view, absl::Time now, absl::BitGenRef random,
                               std::vector<Candidate>& weighed) const {
  const Trunk trunk = trunkOf(query, view);
  bool home = true;
  for (const EngineSlot engine : candidates(pool, trunk, view, random)) {
    Candidate candidate = weigh(query, engine, view, now);
    candidate.cost -= home ? absl::ToDoubleSeconds(settings_.home_bonus) : 0.0;
    home = false;
    weighed.push_back(candidate);
  }
}

std::optional<ImportPlan> PrefixAffinity::importPlan(const PlacementQuery& query, const ScoredEngine& chosen,
                                                     const prefix::TrunkView& view) const {
  const auto longest = std::max_element(
      view.holders.begin(), view.holders.end(),
      [](const auto& left, const auto& right) { return left.certain_blocks < right.certain_blocks; });
  const bool source_is_better = longest != view.holders.end() && longest->engine != chosen.engine &&
                                longest->certain_blocks > chosen.expected_cached_blocks &&
                                directory_.ready(longest->engine);
  if (!settings_.import || !source_is_better) {
    return std::nullopt;
  }
  const absl::Duration recompute_block =
      directory_.settings().cost.prefill_per_token * query.request.prompt.block_size;
  if (settings_.import_per_block >= recompute_block) {
    return std::nullopt;
  }
  return ImportPlan{longest->engine, chosen.expected_cached_blocks,
                    longest->certain_blocks - chosen.expected_cached_blocks};
}

EngineChoice PrefixAffinity::choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) {
  const prefix::TrunkView view = index_.observe(query.request.prompt, now);
  std::vector<Candidate> weighed;
  weighPool(query, query.pool, view, now, random, weighed);
  const auto cheaper = [](const Candidate& left, const Candidate& right) { return left.cost < right.cost; };
  const auto nearest = std::min_element(weighed.begin(), weighed.end(), cheaper);
  const bool spill =
      query.farther != nullptr && nearest->scored.expected_first_token > settings_.spill_threshold;
  if (spill) {
    weighPool(query, *query.farther, view, now, random, weighed);
  }
  const size_t kept = std::min(weighed.size(), kMaximumAlternatives + 1);
  std::partial_sort(weighed.begin(), weighed.begin() + static_cast<std::ptrdiff_t>(kept), weighed.end(),
                    cheaper);
  EngineChoice choice;
  choice.chosen = weighed.front().scored;
  for (size_t place = 1; place < kept; ++place) {
    choice.alternatives.push_back(weighed[place].scored);
  }
  choice.import = importPlan(query, choice.chosen, view);
  return choice;
}

}  // namespace quincewick::routing
