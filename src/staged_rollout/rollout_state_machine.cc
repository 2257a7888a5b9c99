#include "staged_rollout/rollout_state_machine.h"

#include <algorithm>
#include <array>

namespace quincewick::staged_rollout {
namespace {

using forwarding::RolloutState;

// From the first step until the final record is written, with a margin for a lease holder that crashes
// meanwhile.
constexpr absl::Duration kMoveDuration = absl::Seconds(5);
// Gateways that receive no updates stop using the baseline this long before its planned end, the deadline.
constexpr absl::Duration kBaseExpiryMargin = absl::Milliseconds(2800);
constexpr absl::Duration kStepDuration = absl::Milliseconds(400);
constexpr std::array kSteps = {0.25, 0.5, 1.0};
// A good verdict is planned for kMoveDuration before the deadline and still acted on until this long before
// it.
constexpr absl::Duration kLatestMoveBeforeDeadline = absl::Milliseconds(2500);
// A rollout without a verdict this long before the deadline is rolled back.
constexpr absl::Duration kVerdictCutoff = absl::Milliseconds(700);
// Requests that unreachable gateways have in flight at the baseline when they stop using it end within this.
constexpr absl::Duration kInFlightRequestTime = absl::Seconds(2);
// An unreachable gateway stops using the baseline within this time: it reads the record from the store, or
// its last update expires.
constexpr absl::Duration kUnreachableStopDelay = absl::Milliseconds(2600);
// A shorter rollout leaves no time to watch the target.
constexpr absl::Duration kMinWatchDuration = absl::Seconds(2);

RolloutRecord atStage(RolloutRecord record, RolloutStage stage, const RolloutInputs& inputs) {
  record.stage = stage;
  record.stage_began = inputs.clock;
  record.bad_responses = std::max(record.bad_responses, inputs.bad_responses);
  return record;
}

RolloutTransition rolledBack(const RolloutRecord& record, const RolloutInputs& inputs,
                             std::string_view reason) {
  RolloutRecord next = atStage(record, RolloutStage::kRolledBack, inputs);
  next.share = 0;
  return {next, reason};
}

RolloutTransition completed(const RolloutRecord& record, const RolloutInputs& inputs,
                            std::string_view reason) {
  RolloutRecord next = atStage(record, RolloutStage::kCompleted, inputs);
  next.base = next.target;
  next.share = 1;
  return {next, reason};
}

RolloutTransition startRollout(const RolloutRecord& record, const RolloutInputs& inputs,
                               const RolloutMachineSettings& settings) {
  const OperatorRequestRow& row = *inputs.operators_row;
  RolloutRecord next = record;
  next.bad_responses = 0;
  next = atStage(next, RolloutStage::kWatching, inputs);
  next.bad_responses = 0;
  next.target = row.request.target;
  next.share = 0;
  next.began = row.seen;
  next.deadline = row.seen + row.request.time_allowed;
  next.base_until = std::max(next.deadline - kBaseExpiryMargin, next.began + settings.key_revocation);
  const bool is_too_short = row.request.time_allowed < kMoveDuration + kMinWatchDuration;
  return is_too_short ? rolledBack(next, inputs, "too_short") : RolloutTransition{next, "asked_for"};
}

RolloutTransition handleOperatorRequest(const RolloutRecord& record, const RolloutInputs& inputs,
                                        const RolloutMachineSettings& settings) {
  const OperatorRequestRow& row = *inputs.operators_row;
  RolloutRecord next = record;
  next.request_row = row.row;
  if (row.is_gone) {
    return record.isRunning() ? rolledBack(next, inputs, "taken_back")
                              : RolloutTransition{next, "taken_back"};
  }
  if (row.request.target == record.base) {
    if (record.isRunning()) {
      return rolledBack(next, inputs, "taken_back");
    }
    next.target = record.base;
    return completed(next, inputs, "is_there_already");
  }
  if (record.isRunning() && row.request.target == record.target) {
    next.deadline = std::max(next.deadline, row.seen + row.request.time_allowed);
    return {next, "asked_for_again"};
  }
  return startRollout(next, inputs, settings);
}

std::optional<RolloutTransition> afterWatching(const RolloutRecord& record, const RolloutInputs& inputs) {
  const absl::Duration left = record.deadline - inputs.clock;
  if (left <= kVerdictCutoff) {
    return rolledBack(record, inputs, "no_verdict");
  }
  const bool is_time = left <= kMoveDuration && left >= kLatestMoveBeforeDeadline;
  if (!is_time || inputs.verdict != Verdict::kGood) {
    return std::nullopt;
  }
  RolloutRecord next = atStage(record, RolloutStage::kMoving, inputs);
  next.share = kSteps.front();
  return RolloutTransition{next, "found_good"};
}

std::optional<RolloutTransition> afterStep(const RolloutRecord& record, const RolloutInputs& inputs) {
  if (inputs.clock < record.stage_began + kStepDuration) {
    return std::nullopt;
  }
  const auto* const step = std::upper_bound(kSteps.begin(), kSteps.end(), record.share);
  if (step == kSteps.end()) {
    return RolloutTransition{atStage(record, RolloutStage::kFinishing, inputs), "all_moved"};
  }
  RolloutRecord next = atStage(record, RolloutStage::kMoving, inputs);
  next.share = *step;
  return RolloutTransition{next, "next_step"};
}

// Unreachable gateways have stopped using the baseline once their last possible update has expired.
std::optional<RolloutTransition> afterFinishing(const RolloutRecord& record, const RolloutInputs& inputs) {
  if (!inputs.have_reachable_confirmed) {
    return std::nullopt;
  }
  const absl::Duration unreachable_stopped =
      std::max(record.stage_began + kUnreachableStopDelay, record.base_until) + kInFlightRequestTime;
  if (inputs.is_any_unreachable && inputs.clock < unreachable_stopped) {
    return std::nullopt;
  }
  return completed(record, inputs, "all_confirmed");
}

}  // namespace

RolloutRecord initialRecord(const ServiceName& service, const SoftwareVersion& base) {
  RolloutRecord record;
  record.service = service;
  record.base = base;
  return record;
}

std::optional<RolloutTransition> nextTransition(const RolloutRecord& record, const RolloutInputs& inputs,
                                                const RolloutMachineSettings& settings) {
  const bool is_asked_anew = inputs.operators_row && inputs.operators_row->row > record.request_row;
  if (is_asked_anew) {
    return handleOperatorRequest(record, inputs, settings);
  }
  if (record.isRunning() && inputs.verdict == Verdict::kBad) {
    return rolledBack(record, inputs, "found_bad");
  }
  switch (record.stage) {
    case RolloutStage::kWatching:
      return afterWatching(record, inputs);
    case RolloutStage::kMoving:
      return afterStep(record, inputs);
    case RolloutStage::kFinishing:
      return afterFinishing(record, inputs);
    case RolloutStage::kSettled:
    case RolloutStage::kCompleted:
    case RolloutStage::kRolledBack:
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<forwarding::RolloutStatus> statusOf(const RolloutRecord& record) {
  if (record.stage == RolloutStage::kSettled || record.target.empty()) {
    return std::nullopt;
  }
  forwarding::RolloutStatus status{record.service, record.target, RolloutState::kRunning};
  if (record.stage == RolloutStage::kCompleted) {
    status.state = RolloutState::kCompleted;
  } else if (record.stage == RolloutStage::kRolledBack) {
    status.state = RolloutState::kRolledBack;
  }
  return status;
}

}  // namespace quincewick::staged_rollout
