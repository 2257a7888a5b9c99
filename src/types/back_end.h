// A back end as a node knows it: an engine that serves models, or a server that runs actions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "types/identifiers.h"
#include "types/labels.h"

namespace quincewick {

enum class BackEndKind : uint8_t { kEngine, kActionServer, kCacheStore };

// The life cycle of a back end. Only a ready one is given new work.
enum class BackEndState : uint8_t { kStarting, kReady, kDraining, kLeaving, kGone };

// An IP address and port, numeric.
struct Address {
  std::string host;
  uint16_t port = 0;

  friend bool operator==(const Address&, const Address&) = default;
  friend auto operator<=>(const Address&, const Address&) = default;  // NOLINT

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, port);
  }
};

// A model that an engine has loaded.
struct LoadedModel {
  ModelName model;
  WeightsVersion weights_version;
  std::vector<AdapterName> adapters;

  friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
};

// A back end as listed by the platform, corrected by its own responses.
struct BackEnd {
  BackEndId id;
  BackEndKind kind = BackEndKind::kEngine;
  BackEndState state = BackEndState::kStarting;
  ZoneName zone;
  Address address;
  Labels labels;
  Incarnation incarnation;
  std::vector<LoadedModel> models;
};

// An engine's own report of its load. It lags: its reader must add the work it has sent since.
struct EngineLoad {
  Incarnation incarnation;
  uint32_t running = 0;                // requests being decoded
  uint32_t waiting = 0;                // requests queued at the engine
  uint64_t queued_prefill = 0;         // prompt characters waiting for prefill
  uint32_t cached_blocks = 0;          // blocks held now
  uint32_t cache_capacity_blocks = 0;  // capacity in blocks
};

}  // namespace quincewick
