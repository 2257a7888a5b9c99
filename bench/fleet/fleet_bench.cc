// Rollouts on virtual time against the shortest time that the load limit allows, and what the fleet's state
// costs. `ratio_to_bound` is 1 for a perfect rollout.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdint>

#include "tests/fleet/virtual_fleet.h"

namespace quincewick::fleet {
namespace {

constexpr WeightsVersion kTarget(2);

struct Site {
  uint32_t nodes;
  uint32_t engines;
  uint32_t zones;
  uint32_t maximum_loads;
};

constexpr Site kBudapest = {6, 12, 3, 2};
constexpr Site kDakar = {8, 18, 4, 3};

VirtualFleetSettings settingsOf(const Site& site, absl::Duration drain_time) {
  VirtualFleetSettings settings;
  settings.nodes = site.nodes;
  settings.engines = site.engines;
  settings.zones = site.zones;
  settings.maximum_loads = site.maximum_loads;
  settings.drain_time = drain_time;
  return settings;
}

void measureRollout(benchmark::State& state, const Site& site) {
  const absl::Duration drain_time = absl::Milliseconds(state.range(0));
  for (auto _ : state) {
    const VirtualFleetSettings settings = settingsOf(site, drain_time);
    VirtualFleet fleet(settings);
    fleet.run(absl::Seconds(5));
    const absl::Time start = fleet.now();
    const VirtualFleetCounters before = fleet.counters();
    RolloutRecord rollout = fleet.rollout(kTarget);
    rollout.minimum_ready_share = static_cast<double>(state.range(1)) / 100.0;
    fleet.command(0, "start", StartRollout{rollout});
    const bool done = fleet.runUntil(start + absl::Hours(2),
                                     [&] { return fleet.storedRollout().phase == RolloutPhase::kDone; });
    const bool floor_is_checked = state.range(1) == 60;  // the oracle's own
    if (!done || (floor_is_checked && !fleet.violations().empty())) {
      state.SkipWithError("the rollout did not end, or broke a limit");
      return;
    }
    const uint32_t rounds = (site.engines + site.maximum_loads - 1) / site.maximum_loads;
    const double seconds = absl::ToDoubleSeconds(fleet.now() - start);
    const double bound = absl::ToDoubleSeconds(settings.load_time * rounds);
    const double engines = site.engines;
    const VirtualFleetCounters& after = fleet.counters();
    state.counters["virtual_seconds"] = seconds;
    state.counters["ratio_to_bound"] = seconds / bound;
    state.counters["orders_per_engine"] = static_cast<double>(after.orders - before.orders) / engines;
    state.counters["table_calls_per_second"] =
        static_cast<double>(after.table_calls - before.table_calls) / seconds;
    state.counters["published_per_second"] =
        static_cast<double>(after.published - before.published) / seconds;
    state.counters["queries_per_second"] = static_cast<double>(after.queries - before.queries) / seconds;
  }
}

// Not the whole of 12,000 engines at the real limit of the site, which takes 40 minutes: the first 200 s of
// it.
void measureLargeRollout(benchmark::State& state) {
  const Site site = {36, 1000, 12, 3};
  for (auto _ : state) {
    VirtualFleetSettings settings = settingsOf(site, absl::Milliseconds(state.range(0)));
    VirtualFleet fleet(settings);
    fleet.run(absl::Seconds(5));
    const uint64_t loads_before = fleet.counters().loads;
    const VirtualFleetCounters before = fleet.counters();
    constexpr absl::Duration length = absl::Seconds(30);
    fleet.command(0, "start", StartRollout{fleet.rollout(kTarget)});
    fleet.run(length);
    const double seconds = absl::ToDoubleSeconds(length);
    const double loads = static_cast<double>(fleet.counters().loads - loads_before);
    const double bound = seconds / absl::ToDoubleSeconds(settings.load_time) * site.maximum_loads;
    state.counters["ratio_to_bound"] = bound / loads;
    state.counters["table_calls_per_second"] =
        static_cast<double>(fleet.counters().table_calls - before.table_calls) / seconds;
    state.counters["published_per_second"] =
        static_cast<double>(fleet.counters().published - before.published) / seconds;
    state.counters["violations"] = static_cast<double>(fleet.violations().size());
  }
}

MachineList machineList(int64_t engines) {
  MachineList list;
  for (int64_t index = 0; index < engines; ++index) {
    Machine machine;
    machine.id = absl::StrCat("engine-", 100000 + index);
    machine.kind = MachineKind::kEngine;
    machine.zone = ZoneName(absl::StrCat("zone-", index % 12));
    machine.address = Address{absl::StrCat("10.1.", index / 250, ".", index % 250), 8000};
    machine.labels = Labels{{"model", "large"}};
    list.machines.push_back(std::move(machine));
  }
  return list;
}

MembersChanged membersOf(int64_t nodes) {
  MembersChanged members;
  for (int64_t index = 0; index < nodes; ++index) {
    members.members.push_back(
        {NodeId(absl::StrCat("node-", 1000 + index)), ZoneName(absl::StrCat("zone-", index % 12))});
  }
  return members;
}

BackEndPublished statusOf(int64_t index, uint64_t revision) {
  BackEndStatus status;
  status.id = BackEndId(absl::StrCat("engine-", 100000 + index));
  status.state = revision % 2 == 0 ? BackEndState::kReady : BackEndState::kDraining;
  status.revision = revision;
  status.answer = BackEndAnswer{
      Incarnation(1), {LoadedModel{ModelName("large"), WeightsVersion(1), {}}}, 0, revision % 2 == 0};
  return BackEndPublished{status};
}

std::unique_ptr<FleetController> makeController(int64_t engines, std::mt19937_64& random) {
  FleetSettings settings;
  settings.self = NodeId("node-1007");
  auto controller = std::make_unique<FleetController>(settings);
  const absl::Time now = absl::UnixEpoch();
  controller->handle(membersOf(std::max<int64_t>(engines / 29, 3)), now, random);
  controller->handle(machineList(engines), now, random);
  for (int64_t index = 0; index < engines; ++index) {
    controller->handle(statusOf(index, 2), now, random);
  }
  return controller;
}

// Bytes of heap that one node's controller holds, for each engine of the site.
void measureState(benchmark::State& state) {
  std::mt19937_64 random(1);
  for (auto _ : state) {
    const size_t before = mallinfo2().uordblks;
    const std::unique_ptr<FleetController> controller = makeController(state.range(0), random);
    const size_t after = mallinfo2().uordblks;
    state.counters["bytes_per_engine"] =
        static_cast<double>(after - before) / static_cast<double>(state.range(0));
    state.counters["bytes"] = static_cast<double>(after - before);
  }
}

// One publication of a changed back end.
void measurePublication(benchmark::State& state) {
  std::mt19937_64 random(1);
  const std::unique_ptr<FleetController> controller = makeController(state.range(0), random);
  uint64_t revision = 3;
  int64_t index = 0;
  const absl::Time now = absl::UnixEpoch() + absl::Milliseconds(1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(controller->handle(statusOf(index, revision), now, random));
    if (++index == state.range(0)) {
      index = 0;
      ++revision;
    }
  }
}

// One second of a node's life with nothing happening but its own timers.
void measureIdleSecond(benchmark::State& state) {
  std::mt19937_64 random(1);
  const std::unique_ptr<FleetController> controller = makeController(state.range(0), random);
  absl::Time now = absl::UnixEpoch();
  for (auto _ : state) {
    const absl::Time end = now + absl::Seconds(1);
    while (now < end) {
      now = std::max(controller->nextWakeup(now), now + absl::Milliseconds(1));
      benchmark::DoNotOptimize(controller->handle(FleetTick{}, now, random));
    }
  }
}

BENCHMARK_CAPTURE(measureRollout, budapest, kBudapest)
    ->ArgNames({"drain_ms", "ready_percent"})
    ->ArgsProduct({{0, 300, 1000, 2000}, {60, 50, 30}})
    ->Iterations(1);
BENCHMARK_CAPTURE(measureRollout, dakar, kDakar)
    ->ArgNames({"drain_ms", "ready_percent"})
    ->ArgsProduct({{0, 300, 1000, 2000}, {60, 50, 30}})
    ->Iterations(1);
BENCHMARK(measureLargeRollout)->ArgName("drain_ms")->Arg(300)->Arg(2000)->Iterations(1);
BENCHMARK(measureState)->ArgName("engines")->Arg(350)->Arg(1450)->Arg(3770)->Arg(12000)->Iterations(1);
BENCHMARK(measurePublication)->ArgName("engines")->Arg(350)->Arg(1450)->Arg(3770)->Arg(12000);
BENCHMARK(measureIdleSecond)->ArgName("engines")->Arg(350)->Arg(1450)->Arg(3770)->Arg(12000);

}  // namespace
}  // namespace quincewick::fleet
