// The time between the sending of a request to an engine and its first event
// (docs/design/weights_in_force.md).
#include <algorithm>
#include <utility>

#include "gateway/exchange.h"

namespace quincewick::gateway {
namespace {

using forwarding::AttemptOutcome;
using forwarding::RepeatKind;

}  // namespace

absl::Duration Exchange::expectedWait() const {
  const bool yields = engine_ && isPredictedLate();
  const absl::Duration expected = core_.engine_waits.expected(yields, core_.settings.bounds.weights_in_force);
  return engine_ ? std::max(expected, engine_->firstPiece()) : expected;
}

WeightsVersion Exchange::requiredWeights(absl::Time now) const {
  return core_.weights.required(facts_.model, now + expectedWait());
}

bool Exchange::areWeightsInForce(absl::Time now) const {
  return !engine_ || engine_->version >= requiredWeights(now);
}

absl::Time Exchange::beginBy() const {
  return core_.weights.provenDeadlineOf(facts_.model, engine_->version, core_.in_force.confirmed);
}

absl::Time Exchange::deadlineAtServer(absl::Time now) const {
  if (!engine_) {
    return deadline_;
  }
  // While the operator is out of reach, requests keep their deadline until newer weights are known.
  const bool shows_begin = route_->kind == RepeatKind::kStream;
  const bool expects_newer = shows_begin && !core_.is_operator_out_of_reach;
  const absl::Time begin_by =
      expects_newer ? beginBy() : core_.weights.deadlineOf(facts_.model, engine_->version);
  return forwarding::deadlineAtEngine({now, deadline_, begin_by, yields_, shows_begin}, core_.engine_waits);
}

void Exchange::limitStart() {
  if (!engine_) {
    return;
  }
  const absl::Time due = forwarding::nextStartCheck(reactor::steadyNow(), beginBy());
  if (due < deadline_) {
    start_timer_ = core_.timers.schedule(due, [this] {
      const auto self = shared_from_this();
      onStartLimit();
    });
  }
}

// Newer weights may have been named since the attempt was sent, or not.
void Exchange::onStartLimit() {
  const absl::Time weights_end = core_.weights.deadlineOf(facts_.model, engine_->version);
  if (forwarding::isStartOverdue(reactor::steadyNow(), weights_end)) {
    withdraw();
  } else {
    limitStart();
  }
}

// The request counts as possibly run: its first event may be under way.
void Exchange::withdraw() {
  const absl::Time now = reactor::steadyNow();
  core_.metrics.countWithdrawn();
  core_.log.event("withdrawn", now)
      .with("request", facts_.attempt_id)
      .with("server", server_->entry.id)
      .with("weights", static_cast<int64_t>(engine_->version.value()))
      .with("began_ms_ago", now - attempt_began_);
  core_.engine_waits.noteBegun(now - attempt_began_, yields_);
  const bool was_sent = attempt_sent_ != absl::InfiniteFuture();
  endAttempt(was_sent ? AttemptOutcome::kUnknown : AttemptOutcome::kNeverSent);
}

void Exchange::noteBegun() {
  core_.timers.cancel(start_timer_);
  const absl::Time now = reactor::steadyNow();
  core_.metrics.observeEngineWait(now - attempt_sent_);
  core_.engine_waits.noteBegun(now - attempt_sent_, yields_);
  const absl::Time deadline = core_.weights.deadlineOf(facts_.model, engine_->version);
  if (now <= deadline) {
    return;
  }
  core_.metrics.countBegunOnOldWeights();
  core_.log.event("begun_on_old_weights", now)
      .with("request", facts_.attempt_id)
      .with("server", server_->entry.id)
      .with("weights", static_cast<int64_t>(engine_->version.value()))
      .with("newest", static_cast<int64_t>(core_.weights.newest(facts_.model).value()))
      .with("deadline_ms_ago", now - deadline)
      .with("chosen_ms_ago", now - engine_chosen_)
      .with("sent_ms_ago", now - attempt_sent_);
}

}  // namespace quincewick::gateway
