#include "routing/policy_wrappers.h"

#include "routing/route_table.h"

namespace quincewick::routing {

EngineChoice SplitPolicy::choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) {
  const bool in_share = inShare("placement policy", query.request.tenant.value(), percentage_);
  return (in_share ? share_ : rest_)->choose(query, now, random);
}

EngineChoice ShadowPolicy::choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) {
  EngineChoice choice = used_->choose(query, now, random);
  const EngineChoice other = shadow_->choose(query, now, random);
  ++choices_;
  agreements_ += choice.chosen.engine == other.chosen.engine ? 1 : 0;
  return choice;
}

}  // namespace quincewick::routing
