// The engine owner's role: each engine is watched by one node of its zone, which reads its load and cache
// events and spreads a digest of the loads in the zone.
//
// Owners follow from rendezvous hashing over the nodes that the membership believes usable, so that no
// message is needed to agree on them; two nodes whose views differ for a moment may both watch an engine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/control_site.h"
#include "simulation/engine_fleet.h"
#include "simulation/request_path.h"

namespace quincewick::simulation {

struct OwnerSettings {
  absl::Duration poll_period = absl::Seconds(1);
  size_t events_per_poll = 512;
};

// What watching engines costs, over all nodes.
struct OwnerCosts {
  uint64_t polls = 0;
  uint64_t cache_events = 0;
  uint64_t digests_received = 0;
  double poll_cpu_seconds = 0;    // a measured value: taking loads and events in, making the digest
  double digest_cpu_seconds = 0;  // a measured value: taking the digests of peers in
};

class EngineOwners {
 public:
  // All references must outlive the owners.
  EngineOwners(EventQueue& queue, const Topology& topology, EngineFleet& engines, ControlSite& control,
               RequestPath& path, const OwnerSettings& settings);

  // The node's process has begun: starts its polls.
  void nodeStarted(NodeIndex node);
  // The node's view of its zone has changed.
  void membersChanged(NodeIndex node) { nodes_[node].stale = true; }
  // A peer's digest has arrived at the node.
  void digestReceived(NodeIndex node, const NodeId& from, const std::string& digest);

  // The share of cache events that owners do not get to see, as by a fault.
  void setEventLoss(double share) { event_loss_ = share; }

  const OwnerCosts& costs() const { return costs_; }
  void resetCosts() { costs_ = OwnerCosts(); }

 private:
  struct NodeState {
    bool stale = true;
    std::vector<std::vector<EngineIndex>> owned_by;  // by the member's node index
  };

  void poll(NodeIndex node, uint64_t life);
  void refresh(NodeIndex node);
  void readEngine(NodeIndex node, EngineIndex engine);
  std::string makeDigest(NodeIndex node, const std::vector<EngineIndex>& owned) const;

  EventQueue& queue_;
  const Topology& topology_;
  EngineFleet& engines_;
  ControlSite& control_;
  RequestPath& path_;
  OwnerSettings settings_;
  std::vector<NodeState> nodes_;
  std::vector<uint64_t> engine_hashes_;
  std::vector<uint64_t> node_hashes_;
  double event_loss_ = 0;
  Random loss_random_;
  OwnerCosts costs_;
};

}  // namespace quincewick::simulation
