// Carries out a fault schedule on a simulated site.
#pragma once

#include <cstdint>
#include <vector>

#include "simulation/component_random.h"
#include "simulation/control_site.h"
#include "simulation/engine_fleet.h"
#include "simulation/engine_owners.h"
#include "simulation/event_queue.h"
#include "simulation/fault_schedule.h"
#include "simulation/network_model.h"
#include "simulation/operators.h"
#include "simulation/platform_host.h"
#include "simulation/promise_observer.h"
#include "simulation/request_path.h"

namespace quincewick::simulation {

// The parts of a site that faults act on. All must outlive the injector.
struct FaultTargets {
  EventQueue& queue;
  NetworkModel& network;
  PlatformHost& platform;
  const Topology& topology;
  EngineFleet& engines;
  ControlSite& control;
  RequestPath& path;
  EngineOwners& owners;
  PromiseObserver& observer;
  Operators& operators;
};

class FaultInjector {
 public:
  FaultInjector(const FaultTargets& targets, uint64_t seed)
      : targets_(targets), random_(componentRandom(seed, "faults")) {}

  // Schedules the faults, counted from now. Fails on a zone that the site doesn't have and on kinds that
  // can't be simulated yet; nothing is scheduled then.
  Result<void> schedule(const std::vector<Fault>& faults);

  // Starts a node's process and everything that belongs to it.
  void startNode(NodeIndex node);

  uint64_t injected() const { return injected_; }

 private:
  Result<void> check(const Fault& fault) const;
  void inject(const Fault& fault);
  ZoneIndex zoneOf(const Fault& fault);
  // `count` different ones of the candidates, picked by chance.
  std::vector<uint32_t> pick(std::vector<uint32_t> candidates, size_t count);
  std::vector<NodeIndex> candidateNodes(const Fault& fault) const;
  void crashNode(NodeIndex node, absl::Duration duration);
  void crashEngine(EngineIndex engine, absl::Duration duration);
  void stopNode(NodeIndex node, absl::Duration duration);
  void finishStop(NodeIndex node, uint64_t life, absl::Time limit, absl::Duration duration);
  void changeStore(const Fault& fault);

  FaultTargets targets_;
  Random random_;
  uint64_t injected_ = 0;
};

}  // namespace quincewick::simulation
