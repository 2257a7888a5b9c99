// How a rollout goes on: from what its record says and what the decider knows now to the next record. Pure;
// whoever decides, and whenever it took over, comes to the same.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string_view>

#include "forwarding/server_entry.h"
#include "staged_rollout/rollout_record.h"
#include "staged_rollout/version_verdict.h"

namespace quincewick::staged_rollout {

// The operator's row for one service, as it was read last.
struct OperatorRequestRow {
  forwarding::RolloutRequest request;
  uint64_t row = 0;      // the store's version of it
  bool is_gone = false;  // the operator took the request back
  absl::Duration seen;   // by the store's clock, at first
};

struct RolloutInputs {
  absl::Duration clock;  // the store's
  std::optional<OperatorRequestRow> operators_row;
  Verdict verdict = Verdict::kUndecided;
  uint64_t bad_responses = 0;  // of the target, as far as told
  // Of the gateways that are heard: all have confirmed that nothing of theirs runs at the base.
  bool have_reachable_confirmed = false;
  bool is_any_unreachable = false;  // of all gateways that there may be
};

struct RolloutMachineSettings {
  absl::Duration key_revocation =
      absl::Seconds(5);  // who reads nothing for so long sends nothing under a key
};

struct RolloutTransition {
  RolloutRecord record;
  std::string_view why;  // for the log
};

// Nothing: it stays as it is. The record's fence is the writer's to set.
std::optional<RolloutTransition> nextTransition(const RolloutRecord& record, const RolloutInputs& inputs,
                                                const RolloutMachineSettings& settings);

// The first record of a service.
RolloutRecord initialRecord(const ServiceName& service, const SoftwareVersion& base);

// What the operator is told; nothing while no rollout was asked for.
std::optional<forwarding::RolloutStatus> statusOf(const RolloutRecord& record);

}  // namespace quincewick::staged_rollout
