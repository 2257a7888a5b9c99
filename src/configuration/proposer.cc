#include "configuration/proposer.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace quincewick::configuration {
namespace {

constexpr size_t kMaximumQueue = 64;
constexpr absl::Duration kFirstRetryDelay = absl::Milliseconds(100);
constexpr uint32_t kMaximumDoublings = 4;

}  // namespace

void Proposer::propose(ChangeProposed proposal, absl::Time now, ReplicaActions& actions) {
  if (queue_.size() >= kMaximumQueue) {
    Error error{ErrorCode::kResourceExhausted, "too many changes wait at this node", Execution::kNotRun};
    actions.emplace_back(ProposalFinished{proposal.id, std::move(error)});
    return;
  }
  queue_.push_back(std::move(proposal));
  if (phase_ == Phase::kIdle) {
    startNext(now, actions);
  }
}

void Proposer::startNext(absl::Time now, ReplicaActions& actions) {
  phase_ = Phase::kIdle;
  failures_ = 0;
  uncertain_on_.reset();
  if (!queue_.empty()) {
    read(now, actions);
  }
}

void Proposer::read(absl::Time now, ReplicaActions& actions) {
  phase_ = Phase::kReading;
  phase_began_ = now;
  follower_.poll(now, actions);
}

void Proposer::onPollEnded(StoreFollower::Progress progress, absl::Time now, absl::BitGenRef random,
                           ReplicaActions& actions) {
  if (phase_ != Phase::kReading) {
    return;
  }
  if (follower_.pollStarted() < phase_began_) {
    // The poll began before the proposal, or before the write it is to find.
    follower_.poll(now, actions);
    return;
  }
  if (progress == StoreFollower::Progress::kFailed) {
    waitAndRetry(now, random, actions);
    return;
  }
  evaluate(now, actions);
}

void Proposer::evaluate(absl::Time now, ReplicaActions& actions) {
  const ChangeProposed& proposal = queue_.front();
  const Document& document = state_.document();
  if (const auto version = document.versionOf(proposal.operation)) {
    finish(ProposalAccepted{*version}, now, actions);
    return;
  }
  if (uncertain_on_ && *uncertain_on_ < document.version()) {
    uncertain_on_.reset();  // the head has moved without it
  }
  if (now >= proposal.deadline) {
    finishLate(now, actions);
    return;
  }
  if (const auto conflict = document.findConflict(proposal.changes, proposal.base)) {
    finish(*conflict, now, actions);
    return;
  }
  std::vector<ObjectChange> changes = document.effectiveChanges(proposal.changes);
  if (changes.empty()) {
    finish(ProposalAccepted{document.version(), false}, now, actions);
    return;
  }
  const Parsed<Policy> changed = changedPolicy(document.policy(), changes);
  if (!changed.ok()) {
    finish(ProposalInvalid{changed.diagnostics}, now, actions);
    return;
  }
  write(std::move(changes), now, actions);
}

void Proposer::write(std::vector<ObjectChange> changes, absl::Time now, ReplicaActions& actions) {
  const ChangeProposed& proposal = queue_.front();
  record_.version = state_.version().next();
  record_.operation = proposal.operation;
  record_.author = proposal.author;
  record_.comment = proposal.comment;
  record_.accepted_at = now;
  record_.changes = std::move(changes);
  PlatformCall call = calls_.issue(acceptTransaction(record_, follower_.headItemVersion()));
  call_ = call.id;
  phase_ = Phase::kWriting;
  phase_began_ = now;
  actions.emplace_back(std::move(call));
}

bool Proposer::onReply(const PlatformReply& reply, absl::Time now, absl::BitGenRef random,
                       ReplicaActions& actions) {
  if (reply.id != call_) {
    return false;
  }
  call_.reset();
  if (const auto* committed = std::get_if<TableCommitted>(&reply.result)) {
    onCommitted(*committed, now, actions);
  } else if (const auto* error = std::get_if<Error>(&reply.result)) {
    onWriteError(*error, now, random, actions);
  } else {
    read(now, actions);  // another writer came first, or this write's lost twin did
  }
  return true;
}

void Proposer::onCommitted(const TableCommitted& committed, absl::Time now, ReplicaActions& actions) {
  state_.take(record_);
  if (!committed.versions.empty()) {
    follower_.noteHead(record_.version, committed.versions.front());
  }
  finish(ProposalAccepted{record_.version}, now, actions);
}

void Proposer::onWriteError(const Error& error, absl::Time now, absl::BitGenRef random,
                            ReplicaActions& actions) {
  if (error.execution == Execution::kUnknown || error.code == ErrorCode::kOutcomeUnknown) {
    uncertain_on_ = ConfigurationVersion(record_.version.value() - 1);
    read(now, actions);
    return;
  }
  if (error.code == ErrorCode::kUnavailable || error.code == ErrorCode::kResourceExhausted) {
    waitAndRetry(now, random, actions);
    return;
  }
  if (uncertain_on_) {
    finishLate(now, actions);
    return;
  }
  finish(error, now, actions);
}

void Proposer::waitAndRetry(absl::Time now, absl::BitGenRef random, ReplicaActions& actions) {
  if (now >= queue_.front().deadline) {
    finishLate(now, actions);
    return;
  }
  const double doublings = std::min(failures_, kMaximumDoublings);
  ++failures_;
  const double jitter = absl::Uniform(random, 0.5, 1.5);
  phase_ = Phase::kWaiting;
  retry_at_ = now + kFirstRetryDelay * (jitter * static_cast<double>(1U << static_cast<uint32_t>(doublings)));
}

void Proposer::onTick(absl::Time now, absl::Duration call_timeout, absl::BitGenRef random,
                      ReplicaActions& actions) {
  if (phase_ == Phase::kWriting && now >= phase_began_ + call_timeout) {
    call_.reset();
    const Error lost{ErrorCode::kOutcomeUnknown, "the store did not answer", Execution::kUnknown};
    onWriteError(lost, now, random, actions);
    return;
  }
  if (phase_ == Phase::kWaiting && now >= queue_.front().deadline) {
    finishLate(now, actions);
  } else if (phase_ == Phase::kWaiting && now >= retry_at_) {
    read(now, actions);
  }
}

void Proposer::finishLate(absl::Time now, ReplicaActions& actions) {
  if (uncertain_on_) {
    finish(
        Error{ErrorCode::kOutcomeUnknown,
              "the store did not say in time whether the change was accepted; send it again under the same "
              "operation id",
              Execution::kUnknown},
        now, actions);
    return;
  }
  finish(Error{ErrorCode::kUnavailable, "the store could not be reached; nothing was changed",
               Execution::kNotRun},
         now, actions);
}

void Proposer::finish(decltype(ProposalFinished::outcome) outcome, absl::Time now, ReplicaActions& actions) {
  actions.emplace_back(ProposalFinished{queue_.front().id, std::move(outcome)});
  queue_.pop_front();
  startNext(now, actions);
}

}  // namespace quincewick::configuration
