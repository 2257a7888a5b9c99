// A whole simulated site: builds it, runs it for a while of virtual time and reports.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "loadgen/workload.h"
#include "simulation/callers.h"
#include "simulation/control_meter.h"
#include "simulation/engine_owners.h"
#include "simulation/fault_schedule.h"
#include "simulation/operators.h"
#include "simulation/promise_observer.h"
#include "simulation/topology.h"

namespace quincewick::simulation {

struct SimulationOptions {
  TopologyOptions topology;
  absl::Duration duration = absl::Seconds(60);  // of the whole run
  absl::Duration warm_up = absl::Seconds(10);   // its first part, which isn't measured
  uint64_t seed = 1;
  double rate = 40;                 // requests a second
  double changes_per_day = 94'000;  // of the configuration
  std::vector<Fault> faults;
  loadgen::Workload workload;
};

// What a run has shown. All but `Measured` is the same in each run with the same options.
struct SimulationReport {
  PromiseViolations violations;
  CallerStatistics callers;
  uint64_t recomputed_tokens = 0;
  double measured_seconds = 0;  // of virtual time
  double store_operations_per_second = 0;
  double store_bytes_per_second = 0;
  std::vector<double> control_bytes_per_second;  // of each node that ran to the end
  std::vector<NodeCosts> node_costs;             // of each node, over the measured seconds
  uint64_t datagrams = 0;
  OwnerCosts owners;
  OperatorStatistics operators;
  uint64_t placements = 0;
  uint64_t retried_attempts = 0;
  uint64_t events = 0;
  uint64_t faults = 0;

  // Depends on the machine and on what else it does.
  struct Measured {
    double wall_seconds = 0;
    uint64_t peak_memory_bytes = 0;
    std::vector<uint64_t> control_memory_bytes;  // of each node's control plane
    std::vector<uint64_t> router_memory_bytes;   // of each node's router and admission
    double routing_cpu_seconds = 0;              // of all nodes together
    double stream_cpu_seconds = 0;
  } measured;
};

// Runs a simulation. Fails on options that contradict each other.
Result<SimulationReport> runSimulation(const SimulationOptions& options);

}  // namespace quincewick::simulation
