#include "simulation/simulation.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "simulation/fault_injector.h"

namespace quincewick::simulation {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);
constexpr absl::Duration kStartSpread = absl::Seconds(2);  // over which nodes are started at first
constexpr absl::Duration kFirstCallers = absl::Seconds(4);
constexpr absl::Duration kRestartCheckPeriod = absl::Seconds(1);
constexpr uint64_t kBytesPerKilobyte = 1024;

std::vector<RegionIndex> zoneRegions(const Topology& topology) {
  std::vector<RegionIndex> regions;
  for (const Zone& zone : topology.zones) {
    regions.push_back(zone.region);
  }
  return regions;
}

EngineFleetOptions engineOptions(const SimulationOptions& options) {
  EngineFleetOptions engines;
  engines.seed = options.seed;
  for (const loadgen::KindSpecification& kind : options.workload.kinds) {
    const bool known =
        std::find(engines.models.begin(), engines.models.end(), kind.model) != engines.models.end();
    if (kind.type == loadgen::KindType::kInference && !known) {
      engines.models.push_back(kind.model);
    }
  }
  return engines;
}

emulator::PlatformSettings platformSettings(uint64_t seed) {
  emulator::PlatformSettings settings;
  settings.seed = seed;
  return settings;
}

node::ControlPlaneSettings controlSettings(const Topology& topology) {
  node::ControlPlaneSettings settings;
  settings.limits.node_count = static_cast<uint32_t>(topology.nodes.size());
  return settings;
}

// One run. Members are in the order in which they need each other.
class Site {
 public:
  Site(const SimulationOptions& options, Topology topology)
      : options_(options),
        topology_(std::move(topology)),
        queue_(kStart),
        network_(NetworkOptions(), zoneRegions(topology_)),
        platform_(queue_, network_, platformSettings(options.seed)),
        engines_(queue_, topology_, engineOptions(options)),
        control_(queue_, network_, platform_, topology_, controlSettings(topology_), options.seed),
        observer_(topology_.nodes.size(), topology_.engines.size(), PromiseLimits()),
        path_(queue_, network_, topology_, engines_, control_, observer_, options_.workload,
              RequestPathSettings(), options.seed),
        owners_(queue_, topology_, engines_, control_, path_, OwnerSettings()),
        operators_(queue_, topology_, platform_, control_, observer_, options_.workload,
                   options.changes_per_day, options.seed),
        generator_(options.workload, options.rate, options.seed),
        callers_(queue_, topology_, path_, observer_, generator_, options.seed),
        faults_({queue_, network_, platform_, topology_, engines_, control_, path_, owners_, observer_,
                 operators_},
                options.seed) {}

  Result<SimulationReport> run();

 private:
  std::vector<Machine> machines() const;
  void onNotification(NodeIndex node, const node::ControlAction& action);
  void checkRestarts();
  void resetCosts();
  void collect(SimulationReport& report);
  void measureMemory(SimulationReport& report);

  const SimulationOptions& options_;
  Topology topology_;
  EventQueue queue_;
  NetworkModel network_;
  PlatformHost platform_;
  EngineFleet engines_;
  ControlSite control_;
  PromiseObserver observer_;
  RequestPath path_;
  EngineOwners owners_;
  Operators operators_;
  loadgen::WorkloadGenerator generator_;
  Callers callers_;
  FaultInjector faults_;
};

std::vector<Machine> Site::machines() const {
  std::vector<Machine> machines;
  for (NodeIndex node = 0; node < topology_.nodes.size(); ++node) {
    const Zone& zone = topology_.zones[topology_.zoneOfNode(node)];
    machines.push_back({topology_.nodes[node].value(), MachineKind::kNode, zone.name,
                        topology_.regions[zone.region], nodeAddress(node), Labels(), false});
  }
  for (EngineIndex engine = 0; engine < topology_.engines.size(); ++engine) {
    const Zone& zone = topology_.zones[topology_.zoneOfEngine(engine)];
    machines.push_back({topology_.engines[engine].value(), MachineKind::kEngine, zone.name,
                        topology_.regions[zone.region], engines_.describe(engine).address, Labels(), false});
  }
  return machines;
}

void Site::onNotification(NodeIndex node, const node::ControlAction& action) {
  if (std::holds_alternative<membership::MemberChanged>(action)) {
    owners_.membersChanged(node);
  } else if (const auto* payload = std::get_if<membership::MemberPayloadChanged>(&action)) {
    owners_.digestReceived(node, payload->id, payload->payload.bytes);
  } else if (const auto* decision = std::get_if<admission::LimitDecision>(&action)) {
    path_.onLimitDecision(node, *decision);
  } else if (std::holds_alternative<configuration::VersionInForce>(action)) {
    operators_.onVersionInForce(node);
  } else if (const auto* finished = std::get_if<configuration::ProposalFinished>(&action)) {
    operators_.onProposalFinished(*finished);
  }
}

void Site::checkRestarts() {
  // Nodes that no caller happens to ask are probed, so that a low rate of requests is no violation.
  for (NodeIndex node = 0; node < topology_.nodes.size(); ++node) {
    if (observer_.awaitsService(node) && path_.wouldServe(node)) {
      observer_.nodeServes(node, queue_.now());
    }
  }
  observer_.checkRestarts(queue_.now());
  queue_.scheduleAfter(kRestartCheckPeriod, [this] { checkRestarts(); });
}

void Site::resetCosts() {
  control_.meter().reset();
  platform_.resetTraffic();
  path_.resetCosts();
  owners_.resetCosts();
  operators_.resetStatistics();
}

Result<SimulationReport> Site::run() {
  const auto wall_start = std::chrono::steady_clock::now();
  platform_.model().setMachines(machines(), queue_.now());
  control_.setNotificationHandler(
      [this](NodeIndex node, const node::ControlAction& action) { onNotification(node, action); });
  for (NodeIndex node = 0; node < topology_.nodes.size(); ++node) {
    const absl::Duration wait = kStartSpread * node / static_cast<double>(topology_.nodes.size());
    queue_.scheduleAfter(wait, [this, node] { faults_.startNode(node); });
  }
  BOOST_OUTCOME_TRY(faults_.schedule(options_.faults));
  const absl::Time end = kStart + options_.duration;
  const absl::Time measure_from = kStart + options_.warm_up;
  queue_.scheduleAfter(kStartSpread, [this] {
    operators_.start();
    checkRestarts();
  });
  // Callers come when the first configuration is in force.
  queue_.scheduleAfter(kFirstCallers, [this, measure_from, end] { callers_.start(measure_from, end); });
  queue_.runUntil(measure_from);
  resetCosts();
  queue_.runUntil(end);
  SimulationReport report;
  collect(report);
  report.measured.wall_seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - wall_start).count();
  measureMemory(report);
  return report;
}

void Site::collect(SimulationReport& report) {
  observer_.crossCacheUses(engines_.totals().violations.total());
  const double seconds = absl::ToDoubleSeconds(options_.duration - options_.warm_up);
  report.measured_seconds = seconds;
  report.violations = observer_.violations();
  report.callers = callers_.statistics();
  report.recomputed_tokens = path_.recomputedTokens();
  report.store_operations_per_second = static_cast<double>(platform_.traffic().operations) / seconds;
  report.store_bytes_per_second = static_cast<double>(platform_.traffic().bytes) / seconds;
  for (NodeIndex node = 0; node < topology_.nodes.size(); ++node) {
    const NodeCosts& costs = control_.meter().costs(node);
    report.node_costs.push_back(costs);
    uint64_t bytes = 0;
    for (const ModuleCost& cost : costs) {
      report.datagrams += cost.messages;
      bytes += cost.bytes;
    }
    report.control_bytes_per_second.push_back(static_cast<double>(bytes) / seconds);
  }
  report.owners = owners_.costs();
  report.operators = operators_.statistics();
  report.placements = path_.placements();
  report.retried_attempts = path_.retriedAttempts();
  report.events = queue_.executedEvents();
  report.faults = faults_.injected();
  report.measured.routing_cpu_seconds = path_.routingCpuSeconds();
  report.measured.stream_cpu_seconds = path_.streamCpuSeconds();
}

void Site::measureMemory(SimulationReport& report) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  report.measured.peak_memory_bytes = static_cast<uint64_t>(usage.ru_maxrss) * kBytesPerKilobyte;
  report.measured.control_memory_bytes = control_.measureMemoryAndStop();
  report.measured.router_memory_bytes = path_.measureMemoryAndStop();
}

}  // namespace

Result<SimulationReport> runSimulation(const SimulationOptions& options) {
  if (options.warm_up >= options.duration) {
    return fail(ErrorCode::kInvalidArgument, "the warm-up must be shorter than the run");
  }
  if (options.rate <= 0) {
    return fail(ErrorCode::kInvalidArgument, "the rate must be above 0");
  }
  BOOST_OUTCOME_TRY(topology, makeTopology(options.topology));
  Site site(options, std::move(topology));
  return site.run();
}

}  // namespace quincewick::simulation
