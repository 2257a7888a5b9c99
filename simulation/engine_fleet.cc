#include "simulation/engine_fleet.h"

#include <absl/strings/str_format.h>

#include <utility>

#include "emulator/mix.h"

namespace quincewick::simulation {
namespace {

constexpr uint16_t kEnginePort = 8000;
constexpr Incarnation kFirstIncarnation{1};

}  // namespace

EngineFleet::EngineFleet(EventQueue& queue, const Topology& topology, const EngineFleetOptions& options)
    : queue_(queue), topology_(topology), loader_(options.weight_loader) {
  const auto settings = std::make_shared<const emulator::EngineSettings>(options.engine);
  const auto zones = static_cast<uint32_t>(topology.zones.size());
  engines_.reserve(topology.engines.size());
  for (EngineIndex engine = 0; engine < topology.engines.size(); ++engine) {
    const uint64_t seed = emulator::mix(options.seed, engine);
    engines_.emplace_back(settings, kFirstIncarnation, seed, queue.now());
    engines_.back().addModel({options.models[engine / zones % options.models.size()], kFirstWeights, {}});
  }
  wakeups_.assign(engines_.size(), absl::InfiniteFuture());
}

BackEnd EngineFleet::describe(EngineIndex engine) const {
  constexpr uint32_t kHostsPerSubnet = 250;
  const emulator::EngineModel& model = engines_[engine];
  BackEnd back_end;
  back_end.id = topology_.engines[engine];
  back_end.kind = BackEndKind::kEngine;
  back_end.state = model.draining() ? BackEndState::kDraining : BackEndState::kReady;
  back_end.zone = topology_.zones[topology_.zoneOfEngine(engine)].name;
  back_end.address = {absl::StrFormat("10.1.%d.%d", engine / kHostsPerSubnet, engine % kHostsPerSubnet + 1),
                      kEnginePort};
  back_end.incarnation = model.incarnation();
  back_end.models = model.models();
  return back_end;
}

void EngineFleet::handle(EngineIndex engine, emulator::EngineEvent event) {
  std::vector<emulator::EngineAction> actions;
  engines_[engine].handle(std::move(event), queue_.now(), actions);
  for (const emulator::EngineAction& action : actions) {
    if (const auto* load = std::get_if<emulator::StartWeightLoad>(&action)) {
      beginLoad(engine, *load);
    } else if (on_action_) {
      on_action_(engine, action);
    }
  }
  scheduleWakeup(engine);
}

void EngineFleet::scheduleWakeup(EngineIndex engine) {
  const absl::Time due = engines_[engine].nextWakeup();
  if (due == wakeups_[engine]) {
    return;
  }
  wakeups_[engine] = due;
  if (due == absl::InfiniteFuture()) {
    return;
  }
  queue_.scheduleAt(due, [this, engine, due] {
    if (wakeups_[engine] == due) {
      wakeups_[engine] = absl::InfiniteFuture();
      handle(engine, emulator::Wakeup());
    }
  });
}

void EngineFleet::beginLoad(EngineIndex engine, const emulator::StartWeightLoad& load) {
  loader_.begin(loads_.size(), queue_.now());
  loads_.push_back({engine, {load.incarnation, load.model, load.weights_version}});
  scheduleLoader();
}

void EngineFleet::scheduleLoader() {
  const absl::Time due = loader_.nextWakeup();
  if (due != absl::InfiniteFuture()) {
    queue_.scheduleAt(due, [this] { finishLoads(); });
  }
}

void EngineFleet::finishLoads() {
  const std::vector<uint64_t> finished = loader_.takeFinished(queue_.now());
  for (const uint64_t number : finished) {
    const PendingLoad load = loads_[number];
    handle(load.engine, load.loaded);
  }
  if (!finished.empty()) {
    scheduleLoader();
  }
}

emulator::EngineCounters EngineFleet::totals() const {
  emulator::EngineCounters totals;
  for (const emulator::EngineModel& engine : engines_) {
    const emulator::EngineCounters& counters = engine.counters();
    totals.accepted += counters.accepted;
    totals.refused += counters.refused;
    totals.finished += counters.finished;
    totals.aborted += counters.aborted;
    totals.prompt_tokens += counters.prompt_tokens;
    totals.cached_tokens += counters.cached_tokens;
    totals.fenced_orders += counters.fenced_orders;
    totals.violations.salt += counters.violations.salt;
    totals.violations.weights_version += counters.violations.weights_version;
    totals.violations.incarnation += counters.violations.incarnation;
  }
  return totals;
}

}  // namespace quincewick::simulation
