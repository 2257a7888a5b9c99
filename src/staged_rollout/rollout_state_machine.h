// Rollout state machine: maps a rollout's record and the lease holder's current inputs to the next record.
// Pure; every lease holder gets the same result, whenever it took over.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string_view>

#include "forwarding/server_entry.h"
#include "staged_rollout/rollout_record.h"
#include "staged_rollout/version_verdict.h"

namespace quincewick::staged_rollout {

// The operator's row for one service, as last read.
struct OperatorRequestRow {
  forwarding::RolloutRequest request;
  uint64_t row = 0;      // the store's version of the row
  bool is_gone = false;  // the operator withdrew the request
  absl::Duration seen;   // when it was first read, by the store's clock
};

struct RolloutInputs {
  absl::Duration clock;  // the store's
  std::optional<OperatorRequestRow> operators_row;
  Verdict verdict = Verdict::kUndecided;
  uint64_t bad_responses = 0;  // of the target, as far as reported
  // All reachable gateways have confirmed that none of their requests runs at the baseline.
  bool have_reachable_confirmed = false;
  bool is_any_unreachable = false;  // of all gateways that may exist
};

struct RolloutMachineSettings {
  // A gateway that can't read the store for this long sends nothing under a key.
  absl::Duration key_revocation = absl::Seconds(5);
};

struct RolloutTransition {
  RolloutRecord record;
  std::string_view reason;  // for the log
};

// Returns nothing if the record stays as it is. The writer sets the record's fence.
std::optional<RolloutTransition> nextTransition(const RolloutRecord& record, const RolloutInputs& inputs,
                                                const RolloutMachineSettings& settings);

// The initial record of a service.
RolloutRecord initialRecord(const ServiceName& service, const SoftwareVersion& base);

// The status shown to the operator; nothing if no rollout was requested.
std::optional<forwarding::RolloutStatus> statusOf(const RolloutRecord& record);

}  // namespace quincewick::staged_rollout
