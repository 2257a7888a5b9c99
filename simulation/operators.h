// The operators of a simulated site: they change the configuration at a steady rate, and now and then race.
// Also watches when accepted changes are in force at the nodes.
#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>
#include <vector>

#include "loadgen/workload.h"
#include "simulation/control_site.h"
#include "simulation/platform_host.h"
#include "simulation/promise_observer.h"
#include "simulation/samples.h"

namespace quincewick::simulation {

struct OperatorStatistics {
  uint64_t accepted = 0;
  uint64_t conflicting = 0;
  uint64_t failed = 0;
  // From the moment a change took effect in the store until a node was ready with it; one sample for each
  // version and node that ran.
  Samples in_force_seconds;
};

class Operators {
 public:
  // All references must outlive the operators.
  Operators(EventQueue& queue, const Topology& topology, PlatformHost& platform, ControlSite& control,
            PromiseObserver& observer, const loadgen::Workload& workload, double changes_per_day,
            uint64_t seed);

  // Submits a first configuration with all tenants, then changes at the given rate.
  void start();
  // That many operators change the same object at different nodes at once, having seen the same version.
  void race(uint32_t operators);

  void onVersionInForce(NodeIndex node);
  void onProposalFinished(const configuration::ProposalFinished& finished);

  const OperatorStatistics& statistics() const { return statistics_; }
  void resetStatistics() { statistics_ = OperatorStatistics(); }

 private:
  struct Accepted {
    absl::Time at;
    uint64_t content = 0;
  };
  // What is known of a node in one life of its process.
  struct NodeState {
    uint64_t life = 0;
    ConfigurationVersion in_force;
    bool has_version = false;
  };

  void onWrite(const TableWrite& write);
  void changeOneTenant();
  void propose(NodeIndex node, ConfigurationVersion base, std::vector<configuration::ObjectChange> changes);
  NodeIndex chooseReadyNode();
  std::string tenantText();

  EventQueue& queue_;
  const Topology& topology_;
  ControlSite& control_;
  PromiseObserver& observer_;
  const loadgen::Workload& workload_;
  double changes_per_day_;
  Random random_;
  uint64_t next_proposal_ = 0;
  absl::btree_map<ConfigurationVersion, Accepted> accepted_;
  std::vector<NodeState> nodes_;
  OperatorStatistics statistics_;
};

}  // namespace quincewick::simulation
