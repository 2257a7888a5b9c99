// Where the machines of a simulated site stand: regions, zones, nodes and engines.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::simulation {

// Places of zones, nodes and engines in their vectors.
using ZoneIndex = uint32_t;
using RegionIndex = uint32_t;
using NodeIndex = uint32_t;
using EngineIndex = uint32_t;

struct TopologyOptions {
  uint32_t nodes = 12;
  uint32_t engines = 48;
  uint32_t zones = 3;
  uint32_t regions = 0;  // 0: one region for every three zones
};

struct Zone {
  ZoneName name;
  RegionIndex region = 0;
  std::vector<NodeIndex> nodes;
  std::vector<EngineIndex> engines;
};

// Nodes and engines are dealt out over the zones in turn; zones over the regions in blocks.
struct Topology {
  std::vector<RegionName> regions;
  std::vector<Zone> zones;
  std::vector<NodeId> nodes;
  std::vector<BackEndId> engines;

  ZoneIndex zoneOfNode(NodeIndex node) const { return node % static_cast<uint32_t>(zones.size()); }
  ZoneIndex zoneOfEngine(EngineIndex engine) const { return engine % static_cast<uint32_t>(zones.size()); }
};

// Lays out a site. Fails when a count is 0 where it may not be, or some zone would be without a node.
Result<Topology> makeTopology(const TopologyOptions& options);

}  // namespace quincewick::simulation
