#include "staged_rollout/rollout_course.h"

#include <algorithm>
#include <array>

namespace quincewick::staged_rollout {
namespace {

using forwarding::RolloutState;

// From the first step until all is written, with a margin for a decider that ends meanwhile.
constexpr absl::Duration kTimeToMove = absl::Seconds(5);
// Gateways that know nothing new stop using the base so long before what is planned as its last moment.
constexpr absl::Duration kBaseEndsBefore = absl::Milliseconds(2800);
constexpr absl::Duration kStepLasts = absl::Milliseconds(400);
constexpr std::array kSteps = {0.25, 0.5, 1.0};
// A good verdict may come so much later than planned and still be carried out.
constexpr absl::Duration kLatestMove = absl::Milliseconds(2500);
// Before the deadline: a rollout that could not be judged is rolled back.
constexpr absl::Duration kLatestVerdict = absl::Milliseconds(700);
// What silent gateways had under way at the base when they stopped using it.
constexpr absl::Duration kLastRequestsEnd = absl::Seconds(2);
// A silent gateway learns from the store, or its knowledge runs out.
constexpr absl::Duration kSilentStop = absl::Milliseconds(2600);
// Less leaves nothing to watch.
constexpr absl::Duration kShortestWatch = absl::Seconds(2);

RolloutRecord atStage(RolloutRecord record, RolloutStage stage, const Situation& situation) {
  record.stage = stage;
  record.stage_began = situation.clock;
  record.bad_answers = std::max(record.bad_answers, situation.bad_answers);
  return record;
}

NextRecord rolledBack(const RolloutRecord& record, const Situation& situation, std::string_view why) {
  RolloutRecord next = atStage(record, RolloutStage::kRolledBack, situation);
  next.share = 0;
  return {next, why};
}

NextRecord completed(const RolloutRecord& record, const Situation& situation, std::string_view why) {
  RolloutRecord next = atStage(record, RolloutStage::kCompleted, situation);
  next.base = next.target;
  next.share = 1;
  return {next, why};
}

NextRecord begun(const RolloutRecord& record, const Situation& situation, const CourseSettings& settings) {
  const OperatorsRow& row = *situation.operators_row;
  RolloutRecord next = record;
  next.bad_answers = 0;
  next = atStage(next, RolloutStage::kWatching, situation);
  next.bad_answers = 0;
  next.target = row.request.target;
  next.share = 0;
  next.began = row.seen;
  next.deadline = row.seen + row.request.time_allowed;
  next.base_until = std::max(next.deadline - kBaseEndsBefore, next.began + settings.key_revocation);
  const bool is_too_short = row.request.time_allowed < kTimeToMove + kShortestWatch;
  return is_too_short ? rolledBack(next, situation, "too_short") : NextRecord{next, "asked_for"};
}

NextRecord answerRequest(const RolloutRecord& record, const Situation& situation,
                         const CourseSettings& settings) {
  const OperatorsRow& row = *situation.operators_row;
  RolloutRecord next = record;
  next.request_row = row.row;
  if (row.is_gone) {
    return record.isRunning() ? rolledBack(next, situation, "taken_back") : NextRecord{next, "taken_back"};
  }
  if (row.request.target == record.base) {
    if (record.isRunning()) {
      return rolledBack(next, situation, "taken_back");
    }
    next.target = record.base;
    return completed(next, situation, "is_there_already");
  }
  if (record.isRunning() && row.request.target == record.target) {
    next.deadline = std::max(next.deadline, row.seen + row.request.time_allowed);
    return {next, "asked_for_again"};
  }
  return begun(next, situation, settings);
}

std::optional<NextRecord> afterWatching(const RolloutRecord& record, const Situation& situation) {
  const absl::Duration left = record.deadline - situation.clock;
  if (left <= kLatestVerdict) {
    return rolledBack(record, situation, "no_verdict");
  }
  const bool is_time = left <= kTimeToMove && left >= kLatestMove;
  if (!is_time || situation.verdict != Verdict::kGood) {
    return std::nullopt;
  }
  RolloutRecord next = atStage(record, RolloutStage::kMoving, situation);
  next.share = kSteps.front();
  return NextRecord{next, "found_good"};
}

std::optional<NextRecord> afterStep(const RolloutRecord& record, const Situation& situation) {
  if (situation.clock < record.stage_began + kStepLasts) {
    return std::nullopt;
  }
  const auto* const step = std::upper_bound(kSteps.begin(), kSteps.end(), record.share);
  if (step == kSteps.end()) {
    return NextRecord{atStage(record, RolloutStage::kFinishing, situation), "all_moved"};
  }
  RolloutRecord next = atStage(record, RolloutStage::kMoving, situation);
  next.share = *step;
  return NextRecord{next, "next_step"};
}

// Silent gateways have stopped using the base once what they may know has run out.
std::optional<NextRecord> afterFinishing(const RolloutRecord& record, const Situation& situation) {
  if (!situation.have_heard_confirmed) {
    return std::nullopt;
  }
  const absl::Duration silent_stopped =
      std::max(record.stage_began + kSilentStop, record.base_until) + kLastRequestsEnd;
  if (situation.is_any_silent && situation.clock < silent_stopped) {
    return std::nullopt;
  }
  return completed(record, situation, "all_confirmed");
}

}  // namespace

RolloutRecord firstRecord(const ServiceName& service, const SoftwareVersion& base) {
  RolloutRecord record;
  record.service = service;
  record.base = base;
  return record;
}

std::optional<NextRecord> nextRecord(const RolloutRecord& record, const Situation& situation,
                                     const CourseSettings& settings) {
  const bool is_asked_anew = situation.operators_row && situation.operators_row->row > record.request_row;
  if (is_asked_anew) {
    return answerRequest(record, situation, settings);
  }
  if (record.isRunning() && situation.verdict == Verdict::kBad) {
    return rolledBack(record, situation, "found_bad");
  }
  switch (record.stage) {
    case RolloutStage::kWatching:
      return afterWatching(record, situation);
    case RolloutStage::kMoving:
      return afterStep(record, situation);
    case RolloutStage::kFinishing:
      return afterFinishing(record, situation);
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
