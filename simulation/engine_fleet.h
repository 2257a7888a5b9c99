// All modelled engines of a site, driven by the event queue.
#pragma once

#include <absl/functional/any_invocable.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "emulator/engine_model.h"
#include "emulator/weight_loader_model.h"
#include "simulation/event_queue.h"
#include "simulation/topology.h"

namespace quincewick::simulation {

struct EngineFleetOptions {
  emulator::EngineSettings engine;
  emulator::WeightLoaderSettings weight_loader;
  std::vector<ModelName> models;  // dealt out over the engines of each zone in turn
  uint64_t seed = 1;
};

// The version of every model's weights at the start of a run.
inline constexpr WeightsVersion kFirstWeights{1};

class EngineFleet {
 public:
  // Gets what engines do, at the moment at which they do it, without any network delay.
  using ActionHandler = absl::AnyInvocable<void(EngineIndex, const emulator::EngineAction&)>;

  // The queue must outlive the fleet.
  EngineFleet(EventQueue& queue, const Topology& topology, const EngineFleetOptions& options);

  void setActionHandler(ActionHandler handler) { on_action_ = std::move(handler); }

  // Hands an event to the engine now.
  void handle(EngineIndex engine, emulator::EngineEvent event);

  size_t size() const { return engines_.size(); }
  emulator::EngineModel& engine(EngineIndex engine) { return engines_[engine]; }
  const emulator::EngineModel& engine(EngineIndex engine) const { return engines_[engine]; }
  // The engine as a directory lists it, with what runs on it now.
  BackEnd describe(EngineIndex engine) const;
  // Totals over all engines.
  emulator::EngineCounters totals() const;

 private:
  void scheduleWakeup(EngineIndex engine);
  void beginLoad(EngineIndex engine, const emulator::StartWeightLoad& load);
  void finishLoads();
  void scheduleLoader();

  struct PendingLoad {
    EngineIndex engine = 0;
    emulator::WeightsLoaded loaded;
  };

  EventQueue& queue_;
  const Topology& topology_;
  ActionHandler on_action_;
  std::vector<emulator::EngineModel> engines_;
  std::vector<absl::Time> wakeups_;
  emulator::WeightLoaderModel loader_;
  std::vector<PendingLoad> loads_;  // by the number that the loader knows
};

}  // namespace quincewick::simulation
