#include "streams/answer_stream.h"

#include <algorithm>
#include <utility>

namespace quincewick::streams {

AnswerStream::AnswerStream(const AnswerOptions& options, Transcript transcript)
    : options_(options), phase_(Phase::kAbandoned), transcript_(std::move(transcript)) {
  if (transcript_.tokenCount() > 0) {
    execution_ = Execution::kRan;
  }
}

AnswerActions AnswerStream::handle(AnswerEvent event) {
  actions_.clear();
  std::visit([this](auto& one) { on(one); }, event);
  return std::exchange(actions_, {});
}

void AnswerStream::on(const RequestOpened& /*event*/) {
  if (phase_ != Phase::kIdle) {
    return;
  }
  phase_ = Phase::kRunning;
  startAttempt();
}

void AnswerStream::on(const HedgeAllowed& /*event*/) {
  const bool waits_for_first_token = phase_ == Phase::kRunning && transcript_.tokenCount() == 0 && !end_;
  if (waits_for_first_token && attempts_ < options_.maximum_attempts) {
    startAttempt();
  }
}

void AnswerStream::on(const EngineStarted& event) {
  if (Attempt* attempt = liveAttempt(event.attempt)) {
    markStarted(*attempt);
    attempt->resuming = false;
  }
}

void AnswerStream::on(EngineToken& event) {
  Attempt* attempt = liveAttempt(event.attempt);
  const uint64_t next = transcript_.tokenCount();
  if (attempt == nullptr || event.offset < next) {
    return;
  }
  markStarted(*attempt);
  if (event.offset > next) {
    if (!attempt->resuming) {
      recover(event.attempt, true, Error{ErrorCode::kInternal, "the engine skipped a token", execution_});
    }
    return;
  }
  if (transcript_.text().size() + event.text.size() > options_.answer_limit_bytes) {
    cut(Error{ErrorCode::kResourceExhausted, "the answer is longer than the limit", Execution::kRan});
    return;
  }
  attempt->resuming = false;
  cancelAttemptsExcept(event.attempt);
  transcript_.append(event.text);
  deliverPending();
  regulateReading();
}

void AnswerStream::on(const EngineEnd& event) {
  Attempt* attempt = liveAttempt(event.attempt);
  if (attempt == nullptr) {
    return;
  }
  markStarted(*attempt);
  if (event.token_count != transcript_.tokenCount()) {
    const bool tokens_missing = event.token_count > transcript_.tokenCount();
    if (!tokens_missing || !attempt->resuming) {
      recover(event.attempt, tokens_missing,
              Error{ErrorCode::kInternal, "the engine's end does not fit its tokens", execution_});
    }
    return;
  }
  cancelAttemptsExcept(event.attempt);
  live_.clear();
  end_ = EndEvent{event.token_count, event.reason, event.usage};
  deliverPending();
}

void AnswerStream::on(const EngineLost& event) {
  if (liveAttempt(event.attempt) == nullptr) {
    return;
  }
  if (event.error.execution != Execution::kNotRun && execution_ == Execution::kNotRun) {
    execution_ = event.error.execution;
  }
  recover(event.attempt, event.error.code != ErrorCode::kNotFound, event.error);
}

void AnswerStream::on(const CallerGone& /*event*/) {
  if (phase_ != Phase::kRunning) {
    return;
  }
  cancelAttemptsExcept(std::nullopt);
  paused_ = false;
  unsent_bytes_ = 0;
  phase_ = Phase::kAbandoned;
}

void AnswerStream::on(const CallerDrained& event) {
  unsent_bytes_ -= std::min(unsent_bytes_, event.bytes);
  deliverPending();
  regulateReading();
}

void AnswerStream::on(const CallerResumed& event) {
  if (phase_ == Phase::kIdle || (phase_ == Phase::kFinished && !end_)) {
    return;
  }
  const bool was_abandoned = phase_ == Phase::kAbandoned;
  phase_ = Phase::kRunning;
  unsent_bytes_ = 0;  // those of the old connection are lost
  ++reconnects_;
  if (event.from_offset > transcript_.tokenCount()) {
    cut(Error{ErrorCode::kInvalidArgument, "the answer has no such offset yet", execution_});
    return;
  }
  if (reconnects_ > options_.maximum_reconnects) {
    cut(Error{ErrorCode::kResourceExhausted, "too many reconnections to one answer", execution_});
    return;
  }
  delivered_count_ = event.from_offset;
  attempts_ = 0;
  deliverPending();
  if (was_abandoned && !end_) {
    startAttempt();
  }
  regulateReading();
}

void AnswerStream::on(const DeadlinePassed& /*event*/) {
  if (phase_ == Phase::kRunning) {
    const Execution execution =
        live_.empty() || execution_ == Execution::kRan ? execution_ : Execution::kUnknown;
    cut(Error{ErrorCode::kDeadlineExceeded, "the answer took longer than allowed", execution});
  }
}

AnswerStream::Attempt* AnswerStream::liveAttempt(AttemptNumber number) {
  const auto found = live_.find(number);
  return found == live_.end() ? nullptr : &found->second;
}

void AnswerStream::markStarted(Attempt& attempt) {
  attempt.started = true;
  execution_ = Execution::kRan;
}

void AnswerStream::startAttempt() {
  last_attempt_ = last_attempt_.next();
  ++attempts_;
  live_.emplace(last_attempt_, Attempt{});
  actions_.push_back(StartAttempt{last_attempt_, transcript_.text(), transcript_.tokenCount()});
}

void AnswerStream::recover(AttemptNumber number, bool may_resume, const Error& error) {
  if (error.code == ErrorCode::kInvalidArgument) {
    cut(error);
    return;
  }
  Attempt& attempt = live_.at(number);
  if (may_resume && attempt.started && attempt.resumes < options_.maximum_resumes) {
    ++attempt.resumes;
    attempt.resuming = true;
    paused_ = false;  // reading is enabled on the new connection
    actions_.push_back(ResumeAtEngine{number, transcript_.tokenCount()});
    return;
  }
  if (attempt.started || error.execution != Execution::kNotRun) {
    actions_.push_back(CancelAtEngine{number});
  }
  live_.erase(number);
  paused_ = false;
  if (!live_.empty()) {
    return;  // the other of two hedged attempts goes on
  }
  if (attempts_ < options_.maximum_attempts) {
    startAttempt();
    return;
  }
  cut(Error{ErrorCode::kUnavailable, "no engine could finish the answer: " + error.message, execution_});
}

void AnswerStream::cancelAttemptsExcept(std::optional<AttemptNumber> kept) {
  if (live_.size() == 1 && kept) {
    return;
  }
  for (auto entry = live_.begin(); entry != live_.end();) {
    if (kept && entry->first == *kept) {
      ++entry;
      continue;
    }
    actions_.push_back(CancelAtEngine{entry->first});
    entry = live_.erase(entry);
  }
}

void AnswerStream::deliverPending() {
  if (phase_ != Phase::kRunning) {
    return;
  }
  while (delivered_count_ < transcript_.tokenCount() && unsent_bytes_ < options_.unsent_limit_bytes) {
    const std::string_view token = transcript_.token(delivered_count_);
    actions_.push_back(DeliverToken{delivered_count_, std::string(token)});
    unsent_bytes_ += token.size();
    ++delivered_count_;
  }
  if (end_ && delivered_count_ == transcript_.tokenCount()) {
    phase_ = Phase::kFinished;
    actions_.push_back(DeliverEnd{*end_});
  }
}

void AnswerStream::regulateReading() {
  if (phase_ != Phase::kRunning || live_.size() != 1) {
    return;
  }
  const AttemptNumber reading = live_.begin()->first;
  const uint64_t backlog = backlogBytes();
  if (!paused_ && backlog > options_.backlog_limit_bytes) {
    paused_ = true;
    actions_.push_back(PauseReading{reading});
  } else if (paused_ && backlog <= options_.backlog_limit_bytes / 2) {
    paused_ = false;
    actions_.push_back(ResumeReading{reading});
  }
}

void AnswerStream::cut(Error error) {
  cancelAttemptsExcept(std::nullopt);
  phase_ = Phase::kFinished;
  actions_.push_back(DeliverCut{std::move(error)});
}

}  // namespace quincewick::streams
