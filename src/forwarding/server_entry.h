// Servers as the store lists them, and the operator's and engines' rows and reports about weights and
// rollouts.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "forwarding/site_configuration.h"

namespace quincewick::forwarding {

struct ServerEntry {
  std::string id;
  // The start time by the server's own wall clock; InfinitePast if it reports none. Id and start time
  // identify one incarnation: a server that restarts under its id retains no state.
  absl::Time started = absl::InfinitePast();
  ServiceName service;
  Address address;
  ZoneName zone;
  SoftwareVersion software;
  uint32_t slots = 1;
  bool is_draining = false;
  std::vector<LoadedModel> models;

  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

// A version of a model's weights that the operator has named.
struct NamedWeights {
  ModelName model;
  WeightsVersion version;
};

// The operator's request to move the service's traffic to servers with the target software.
struct RolloutRequest {
  ServiceName service;
  SoftwareVersion target;
  absl::Duration time_allowed;
};

// The status of a rollout that is reported to the operator.
enum class RolloutState : uint8_t { kRunning, kCompleted, kRolledBack };
struct RolloutStatus {
  ServiceName service;
  SoftwareVersion target;
  RolloutState state = RolloutState::kRunning;
};

// An engine's own report.
struct EngineReport {
  absl::Time started = absl::InfinitePast();  // as in ServerEntry
  bool is_busy = false;                       // a weight-loading order is in progress
  uint64_t orders_taken = 0;                  // accepted since its start
  std::vector<LoadedModel> models;
};

}  // namespace quincewick::forwarding
