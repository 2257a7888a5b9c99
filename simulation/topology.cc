#include "simulation/topology.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace quincewick::simulation {
namespace {

constexpr uint32_t kZonesPerRegion = 3;

}  // namespace

Result<Topology> makeTopology(const TopologyOptions& options) {
  if (options.zones == 0 || options.nodes < options.zones || options.engines < options.zones) {
    return fail(ErrorCode::kInvalidArgument, "every zone needs at least one node and one engine");
  }
  const uint32_t default_regions = (options.zones + kZonesPerRegion - 1) / kZonesPerRegion;
  const uint32_t regions = options.regions == 0 ? default_regions : options.regions;
  if (regions > options.zones) {
    return fail(ErrorCode::kInvalidArgument, "there can't be more regions than zones");
  }
  Topology topology;
  for (RegionIndex region = 0; region < regions; ++region) {
    topology.regions.emplace_back(absl::StrFormat("region-%02d", region));
  }
  for (ZoneIndex zone = 0; zone < options.zones; ++zone) {
    const RegionIndex region = zone * regions / options.zones;
    topology.zones.push_back({ZoneName(absl::StrFormat("zone-%02d", zone)), region, {}, {}});
  }
  for (NodeIndex node = 0; node < options.nodes; ++node) {
    topology.nodes.emplace_back(absl::StrFormat("node-%04d", node));
    topology.zones[topology.zoneOfNode(node)].nodes.push_back(node);
  }
  for (EngineIndex engine = 0; engine < options.engines; ++engine) {
    topology.engines.emplace_back(absl::StrFormat("engine-%05d", engine));
    topology.zones[topology.zoneOfEngine(engine)].engines.push_back(engine);
  }
  return topology;
}

}  // namespace quincewick::simulation
