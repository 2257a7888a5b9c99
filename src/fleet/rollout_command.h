// What operators, and the leader itself, may ask of the site's rollout.
#pragma once

#include <string>
#include <variant>

#include "fleet/records.h"
#include "types/error.h"

namespace quincewick::fleet {

// Begins a rollout. The record's operations and phase are set by the command.
struct StartRollout {
  RolloutRecord rollout;
};
// Begins no more loads; engines taken out of service are given back. Running loads end.
struct PauseRollout {};
struct ResumeRollout {};
// Goes back to the previous version; also after the rollout is done.
struct RollBackRollout {
  std::string reason;
};
// All engines are as wanted. Sent by the leader.
struct FinishRollout {};

using RolloutCommand =
    std::variant<StartRollout, PauseRollout, ResumeRollout, RollBackRollout, FinishRollout>;

// The record after the command, kInvalidArgument if the command makes no sense, or kConflict if it doesn't
// fit the phase that the rollout is in.
Result<RolloutRecord> applyCommand(const RolloutRecord& record, const RolloutCommand& command,
                                   const OperationId& operation);

}  // namespace quincewick::fleet
