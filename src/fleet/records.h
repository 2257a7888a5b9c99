// What the fleet keeps in the platform's table.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::fleet {

inline constexpr std::string_view kLeaseKey = "fleet/lease";
inline constexpr std::string_view kWindowKey = "fleet/window";
inline constexpr std::string_view kRolloutKey = "fleet/rollout";

// Who leads. Each renewal raises `renewal`; each change of holder raises `epoch`.
struct LeaseRecord {
  NodeId holder;
  Incarnation incarnation;  // of the holder's process
  Epoch epoch;
  uint64_t renewal = 0;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder, incarnation, epoch, renewal);
  }
};

// The engines that may have orders of the epoch's leader in progress. Written before the first order to an
// engine is sent; a new leader rewrites it with its lease, so that an old one can add no engine any more.
struct WindowRecord {
  Epoch epoch;
  uint64_t write = 0;  // rises with each write of one epoch: recognises an own write after a lost answer
  std::vector<BackEndId> engines;

  friend bool operator==(const WindowRecord&, const WindowRecord&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, write, engines);
  }
};

enum class RolloutKind : uint8_t { kWeights, kAdapter, kRole };

enum class RolloutPhase : uint8_t { kRunning, kPaused, kRollingBack, kDone, kRolledBack };

// Returns "running", "paused", "rolling_back", "done" or "rolled_back".
std::string_view rolloutPhaseName(RolloutPhase phase);

// What an operator asked for, and how far it is. There is one for the site at a time.
struct RolloutRecord {
  // Of the last changes, the newest last: recognises an own write after a lost answer.
  std::vector<OperationId> operations;
  RolloutKind kind = RolloutKind::kWeights;
  ModelName model;
  WeightsVersion target;    // what engines shall have now; the previous one after a roll-back has begun
  WeightsVersion previous;  // what a roll-back goes to
  AdapterName adapter;
  std::string role;
  uint32_t maximum_loads = 2;        // at once in the site
  double minimum_ready_share = 0.5;  // of the model's engines that must be ready at any time
  double maximum_error_rate = 0.05;  // of requests on the target version
  uint64_t minimum_requests = 50;    // on the target version, before the error rate counts
  RolloutPhase phase = RolloutPhase::kRunning;
  std::string reason;  // of the last change of phase, for operators

  // True if the change named so is among the last ones.
  bool hasOperation(const OperationId& operation) const {
    return std::find(operations.begin(), operations.end(), operation) != operations.end();
  }
  void addOperation(const OperationId& operation);

  // True while engines are being changed.
  bool isActive() const { return phase == RolloutPhase::kRunning || phase == RolloutPhase::kRollingBack; }

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operations, kind, model, target, previous, adapter, role, maximum_loads, minimum_ready_share,
            maximum_error_rate, minimum_requests, phase, reason);
  }
};

// As stored in the table.
std::string encodeLease(const LeaseRecord& record);
std::string encodeWindow(const WindowRecord& record);
std::string encodeRollout(const RolloutRecord& record);

// kInternal if the bytes are none. An absent item (empty bytes) is an empty lease or window.
Result<LeaseRecord> decodeLease(const std::string& bytes);
Result<WindowRecord> decodeWindow(const std::string& bytes);
Result<RolloutRecord> decodeRollout(const std::string& bytes);

}  // namespace quincewick::fleet
