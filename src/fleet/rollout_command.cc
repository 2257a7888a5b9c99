#include "fleet/rollout_command.h"

#include <absl/strings/str_cat.h>

namespace quincewick::fleet {
namespace {

auto wrongPhase(const RolloutRecord& record, std::string_view wanted) {
  return fail(ErrorCode::kConflict,
              absl::StrCat("the rollout is ", std::string(rolloutPhaseName(record.phase)), "; it can't be ",
                           std::string(wanted), " now"));
}

Result<void> checkStart(const RolloutRecord& rollout) {
  if (rollout.model.empty()) {
    return fail(ErrorCode::kInvalidArgument, "a rollout needs a model");
  }
  if (rollout.kind == RolloutKind::kWeights && rollout.target == rollout.previous) {
    return fail(ErrorCode::kInvalidArgument, "the target version is the present one");
  }
  if (rollout.kind == RolloutKind::kAdapter && rollout.adapter.empty()) {
    return fail(ErrorCode::kInvalidArgument, "a rollout of an adapter needs its name");
  }
  if (rollout.kind == RolloutKind::kRole && rollout.role.empty()) {
    return fail(ErrorCode::kInvalidArgument, "a rollout of a role needs its name");
  }
  const bool has_share = rollout.minimum_ready_share >= 0.0 && rollout.minimum_ready_share < 1.0;
  if (rollout.maximum_loads == 0 || !has_share) {
    return fail(ErrorCode::kInvalidArgument,
                "a rollout needs 1 load at once or more, and a ready share from 0 to below 1");
  }
  return outcome::success();
}

class Applier {
 public:
  explicit Applier(const RolloutRecord& record) : record_(record) {}

  Result<RolloutRecord> operator()(const StartRollout& command) const {
    if (record_.isActive() && !record_.model.empty()) {
      return wrongPhase(record_, "started anew");
    }
    if (record_.phase == RolloutPhase::kPaused) {
      return wrongPhase(record_, "started anew");
    }
    BOOST_OUTCOME_TRY(checkStart(command.rollout));
    return withPhase(command.rollout, RolloutPhase::kRunning, "");
  }

  Result<RolloutRecord> operator()(const PauseRollout& /*command*/) const {
    if (record_.phase != RolloutPhase::kRunning || record_.model.empty()) {
      return wrongPhase(record_, "paused");
    }
    return withPhase(record_, RolloutPhase::kPaused, "");
  }

  Result<RolloutRecord> operator()(const ResumeRollout& /*command*/) const {
    if (record_.phase != RolloutPhase::kPaused) {
      return wrongPhase(record_, "resumed");
    }
    return withPhase(record_, RolloutPhase::kRunning, "");
  }

  Result<RolloutRecord> operator()(const RollBackRollout& command) const {
    const bool is_back = record_.phase == RolloutPhase::kRollingBack ||
                         record_.phase == RolloutPhase::kRolledBack || record_.model.empty();
    if (is_back) {
      return wrongPhase(record_, "rolled back");
    }
    if (record_.kind != RolloutKind::kWeights) {
      return fail(ErrorCode::kInvalidArgument, "only weights can be rolled back");
    }
    RolloutRecord next = withPhase(record_, RolloutPhase::kRollingBack, command.reason);
    std::swap(next.target, next.previous);
    return next;
  }

  Result<RolloutRecord> operator()(const FinishRollout& /*command*/) const {
    if (!record_.isActive()) {
      return wrongPhase(record_, "finished");
    }
    const bool is_rollout = record_.phase == RolloutPhase::kRunning;
    return withPhase(record_, is_rollout ? RolloutPhase::kDone : RolloutPhase::kRolledBack, record_.reason);
  }

 private:
  static RolloutRecord withPhase(RolloutRecord record, RolloutPhase phase, std::string reason) {
    record.phase = phase;
    record.reason = std::move(reason);
    return record;
  }

  const RolloutRecord& record_;
};

}  // namespace

Result<RolloutRecord> applyCommand(const RolloutRecord& record, const RolloutCommand& command,
                                   const OperationId& operation) {
  BOOST_OUTCOME_TRY(next, std::visit(Applier(record), command));
  next.operations = record.operations;
  next.addOperation(operation);
  return next;
}

}  // namespace quincewick::fleet
