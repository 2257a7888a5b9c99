#include "simulation/network_model.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace quincewick::simulation {

NetworkModel::NetworkModel(NetworkOptions options, std::vector<RegionIndex> zone_regions)
    : options_(options), zone_regions_(std::move(zone_regions)), zone_cuts_(zone_regions_.size(), 0) {
  const auto greatest = std::max_element(zone_regions_.begin(), zone_regions_.end());
  region_cuts_.assign(greatest == zone_regions_.end() ? 0 : *greatest + 1, 0);
}

bool NetworkModel::reachable(ZoneIndex from, ZoneIndex to) const {
  if (from == to) {
    return true;
  }
  if (zone_cuts_[from] > 0 || zone_cuts_[to] > 0) {
    return false;
  }
  const RegionIndex from_region = zone_regions_[from];
  const RegionIndex to_region = zone_regions_[to];
  return from_region == to_region || (region_cuts_[from_region] == 0 && region_cuts_[to_region] == 0);
}

absl::Duration NetworkModel::baseDelay(ZoneIndex from, ZoneIndex to) const {
  if (from == to) {
    return options_.within_zone;
  }
  return zone_regions_[from] == zone_regions_[to] ? options_.between_zones : options_.between_regions;
}

absl::Duration NetworkModel::connectionDelay(ZoneIndex from, ZoneIndex to, absl::BitGenRef random) const {
  return baseDelay(from, to) + options_.jitter * absl::Uniform(random, 0.0, 1.0);
}

absl::InlinedVector<absl::Duration, 2> NetworkModel::datagramDelays(ZoneIndex from, ZoneIndex to,
                                                                    absl::BitGenRef random) const {
  absl::InlinedVector<absl::Duration, 2> delays;
  if (!reachable(from, to) || absl::Bernoulli(random, options_.loss)) {
    return delays;
  }
  delays.push_back(connectionDelay(from, to, random));
  if (absl::Bernoulli(random, options_.duplication)) {
    delays.push_back(connectionDelay(from, to, random));
  }
  return delays;
}

}  // namespace quincewick::simulation
