#include "simulation/fault_injector.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

namespace quincewick::simulation {
namespace {

constexpr absl::Duration kStopCheckPeriod = absl::Milliseconds(500);
constexpr absl::Duration kStreamLimit = absl::Seconds(120);

}  // namespace

Result<void> FaultInjector::schedule(const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    BOOST_OUTCOME_TRY(check(fault));
  }
  for (const Fault& fault : faults) {
    targets_.queue.scheduleAfter(fault.at, [this, fault] { inject(fault); });
  }
  return outcome::success();
}

Result<void> FaultInjector::check(const Fault& fault) const {
  const bool supported = fault.kind != FaultKind::kRollout;
  if (!supported) {
    return fail(ErrorCode::kInvalidArgument,
                "this fault can't be simulated yet: " + std::string(faultKindName(fault.kind)));
  }
  const auto& zones = targets_.topology.zones;
  const bool zone_exists = !fault.zone || std::any_of(zones.begin(), zones.end(), [&](const Zone& zone) {
    return zone.name == *fault.zone;
  });
  if (!zone_exists) {
    return fail(ErrorCode::kInvalidArgument, "the site has no zone " + fault.zone->value());
  }
  return outcome::success();
}

ZoneIndex FaultInjector::zoneOf(const Fault& fault) {
  const auto& zones = targets_.topology.zones;
  for (ZoneIndex zone = 0; zone < zones.size(); ++zone) {
    if (fault.zone && zones[zone].name == *fault.zone) {
      return zone;
    }
  }
  return absl::Uniform<ZoneIndex>(random_, 0, static_cast<ZoneIndex>(zones.size()));
}

std::vector<uint32_t> FaultInjector::pick(std::vector<uint32_t> candidates, size_t count) {
  std::vector<uint32_t> picked;
  while (!candidates.empty() && picked.size() < count) {
    const size_t place = absl::Uniform<size_t>(random_, 0, candidates.size());
    picked.push_back(candidates[place]);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(place));
  }
  return picked;
}

std::vector<NodeIndex> FaultInjector::candidateNodes(const Fault& fault) const {
  std::vector<NodeIndex> nodes;
  for (NodeIndex node = 0; node < targets_.topology.nodes.size(); ++node) {
    const Zone& zone = targets_.topology.zones[targets_.topology.zoneOfNode(node)];
    if ((!fault.zone || zone.name == *fault.zone) && targets_.path.takesRequests(node)) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

void FaultInjector::inject(const Fault& fault) {
  ++injected_;
  switch (fault.kind) {
    case FaultKind::kEngineCrash: {
      std::vector<EngineIndex> engines(targets_.topology.engines.size());
      std::iota(engines.begin(), engines.end(), 0U);
      if (fault.zone) {
        engines = targets_.topology.zones[zoneOf(fault)].engines;
      }
      for (const EngineIndex engine : pick(std::move(engines), fault.count)) {
        crashEngine(engine, fault.duration);
      }
      return;
    }
    case FaultKind::kNodeCrash:
      for (const NodeIndex node : pick(candidateNodes(fault), fault.count)) {
        crashNode(node, fault.duration);
      }
      return;
    case FaultKind::kNodeHerd:
      for (const NodeIndex node : candidateNodes(fault)) {
        crashNode(node, fault.duration);
      }
      return;
    case FaultKind::kNodePause:
      for (const NodeIndex node : pick(candidateNodes(fault), fault.count)) {
        targets_.control.pause(node, fault.duration);
      }
      return;
    case FaultKind::kPlannedStop:
      for (const NodeIndex node : pick(candidateNodes(fault), fault.count)) {
        stopNode(node, fault.duration);
      }
      return;
    case FaultKind::kZoneCut: {
      const ZoneIndex zone = zoneOf(fault);
      targets_.network.cutZone(zone);
      targets_.queue.scheduleAfter(fault.duration, [this, zone] { targets_.network.healZone(zone); });
      return;
    }
    case FaultKind::kRegionCut: {
      const RegionIndex region = targets_.topology.zones[zoneOf(fault)].region;
      targets_.network.cutRegion(region);
      targets_.queue.scheduleAfter(fault.duration, [this, region] { targets_.network.healRegion(region); });
      return;
    }
    case FaultKind::kCacheEventLoss:
      targets_.owners.setEventLoss(fault.factor);
      targets_.queue.scheduleAfter(fault.duration, [this] { targets_.owners.setEventLoss(0); });
      return;
    case FaultKind::kStoreOutage:
    case FaultKind::kStoreSlow:
    case FaultKind::kStoreLostAnswers:
      return changeStore(fault);
    case FaultKind::kRacingOperators:
      return targets_.operators.race(fault.count + 1);
    case FaultKind::kRollout:
      return;  // refused by check()
  }
}

void FaultInjector::changeStore(const Fault& fault) {
  emulator::PlatformFaults& faults = targets_.platform.model().faults();
  if (fault.kind == FaultKind::kStoreOutage) {
    faults.down = true;
  } else if (fault.kind == FaultKind::kStoreSlow) {
    faults.slowdown = fault.factor;
  } else {
    faults.lost_answers = fault.factor;
  }
  targets_.queue.scheduleAfter(fault.duration, [this, kind = fault.kind] {
    emulator::PlatformFaults& present = targets_.platform.model().faults();
    if (kind == FaultKind::kStoreOutage) {
      present.down = false;
    } else if (kind == FaultKind::kStoreSlow) {
      present.slowdown = 1;
    } else {
      present.lost_answers = 0;
    }
  });
}

void FaultInjector::crashEngine(EngineIndex engine, absl::Duration duration) {
  const Incarnation next = targets_.engines.engine(engine).incarnation().next();
  targets_.engines.handle(engine, emulator::Crash());
  targets_.queue.scheduleAfter(duration, [this, engine, next] {
    targets_.engines.handle(engine, emulator::Restart{next, false});
  });
}

void FaultInjector::startNode(NodeIndex node) {
  targets_.control.start(node);
  targets_.observer.nodeStarted(node, targets_.queue.now());
  targets_.path.nodeStarted(node);
  targets_.owners.nodeStarted(node);
}

void FaultInjector::crashNode(NodeIndex node, absl::Duration duration) {
  targets_.control.crash(node);
  targets_.observer.nodeStopped(node);
  targets_.path.nodeCrashed(node);
  const uint64_t life = targets_.control.life(node);
  targets_.queue.scheduleAfter(duration, [this, node, life] {
    if (targets_.control.life(node) == life) {
      startNode(node);
    }
  });
}

void FaultInjector::stopNode(NodeIndex node, absl::Duration duration) {
  targets_.path.nodeStopping(node);
  targets_.observer.nodeStopped(node);
  targets_.control.handle(node, membership::LeaveRequested());
  finishStop(node, targets_.control.life(node), targets_.queue.now() + kStreamLimit, duration);
}

void FaultInjector::finishStop(NodeIndex node, uint64_t life, absl::Time limit, absl::Duration duration) {
  if (targets_.control.life(node) != life) {
    return;
  }
  if (targets_.path.openRequests(node) > 0 && targets_.queue.now() < limit) {
    targets_.queue.scheduleAfter(
        kStopCheckPeriod, [this, node, life, limit, duration] { finishStop(node, life, limit, duration); });
    return;
  }
  targets_.path.cutOpenRequests(node);
  targets_.control.handle(node, membership::LeaveFinished());
  crashNode(node, duration);
}

}  // namespace quincewick::simulation
