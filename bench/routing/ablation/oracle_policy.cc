#include "ablation/oracle_policy.h"

#include <limits>

namespace quincewick::ablation {

routing::EngineChoice OraclePolicy::choose(const routing::PlacementQuery& query, absl::Time now,
                                           absl::BitGenRef /*random*/) {
  const PrefixChain& prompt = query.request.prompt;
  const double prefill = absl::ToDoubleSeconds(directory_.settings().cost.prefill_per_token);
  const double weight = settings_.recompute_weight[static_cast<size_t>(query.urgency)];
  routing::EngineChoice choice;
  double least = std::numeric_limits<double>::infinity();
  for (const routing::EngineNumber engine : query.pool.engines) {
    const uint32_t held = held_(engine, prompt);
    const double uncached =
        static_cast<double>(prompt.size()) - static_cast<double>(held) * prompt.block_size;
    const absl::Duration expected = directory_.expectedFirstToken(engine, query.urgency, uncached, now);
    const double cost = absl::ToDoubleSeconds(expected) + (weight - 1.0) * uncached * prefill;
    if (cost < least) {
      least = cost;
      choice.chosen = {engine, expected, held};
    }
  }
  return choice;
}

}  // namespace quincewick::ablation
