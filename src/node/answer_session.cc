#include "node/answer_session.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace quincewick::node {

using streams::AnswerAction;
using streams::AnswerEvent;

// Hands the events of one attempt to the session, on the thread that reads the engine.
class AnswerSession::AttemptSink : public engine::EngineEventSink {
 public:
  AttemptSink(AnswerSession& session, AttemptNumber attempt, AttemptTarget target)
      : session_(session), attempt_(attempt), target_(std::move(target)) {}

  bool onEvent(AnswerEvent event) override {
    if (!saw_token_ && std::holds_alternative<streams::EngineToken>(event)) {
      saw_token_ = true;
      session_.director_->onFirstToken(target_);
    }
    if (const auto* end = std::get_if<streams::EngineEnd>(&event)) {
      session_.reportAttemptOver(attempt_, end->usage, std::nullopt);
    }
    if (const auto* lost = std::get_if<streams::EngineLost>(&event)) {
      session_.reportAttemptOver(attempt_, std::nullopt, lost->error);
    }
    return session_.onEngineEvent(attempt_, std::move(event));
  }

  void onObservation(const engine::EngineObservation& observation) override {
    session_.director_->onObservation(target_, observation);
  }

 private:
  AnswerSession& session_;
  const AttemptNumber attempt_;
  const AttemptTarget target_;
  bool saw_token_ = false;
};

AnswerSession::AnswerSession(const streams::AnswerOptions& options, engine::EngineRequest request_template,
                             std::shared_ptr<AttemptDirector> director, SessionResources resources,
                             absl::Time deadline)
    : template_(std::move(request_template)),
      director_(std::move(director)),
      resources_(std::move(resources)),
      deadline_(deadline),
      options_(options),
      stream_(options) {}

void AnswerSession::open() {
  feed(streams::RequestOpened{});
}

void AnswerSession::resumeFrom(streams::Transcript transcript, uint64_t from_offset) {
  {
    absl::MutexLock lock(&mutex_);
    stream_ = streams::AnswerStream(options_, std::move(transcript));
    // Attempts of the earlier life may still be known to engines by their ids.
    life_ = absl::ToUnixNanos(resources_.clock());
  }
  feed(streams::CallerResumed{from_offset});
}

void AnswerSession::allowHedge() {
  feed(streams::HedgeAllowed{});
}

void AnswerSession::abandon() {
  feed(streams::CallerGone{});
  reportAnswerOver();
}

bool AnswerSession::waitForEvent(absl::Time until) {
  absl::MutexLock lock(&mutex_);
  const absl::Duration patience = until - resources_.clock();
  return mutex_.AwaitWithTimeout(absl::Condition(this, &AnswerSession::hasEvents), patience);
}

Result<void> AnswerSession::awaitFirstEvent() {
  if (!waitForEvent(deadline_)) {
    feed(streams::DeadlinePassed{});
  }
  absl::MutexLock lock(&mutex_);
  if (!ready_.empty()) {
    if (const auto* cut = std::get_if<CutEvent>(&ready_.front())) {
      return outcome::failure(cut->error);
    }
  }
  return outcome::success();
}

std::vector<StreamEvent> AnswerSession::next(absl::Duration patience) {
  const absl::Time now = resources_.clock();
  uint64_t drained = 0;
  {
    absl::MutexLock lock(&mutex_);
    drained = std::exchange(fetched_bytes_, 0);
  }
  if (drained > 0) {
    feed(streams::CallerDrained{drained});
  }
  if (now >= deadline_) {
    feed(streams::DeadlinePassed{});
  }
  waitForEvent(std::min(now + patience, deadline_));
  std::vector<StreamEvent> events;
  {
    absl::MutexLock lock(&mutex_);
    events.swap(ready_);
    for (const StreamEvent& event : events) {
      if (const auto* token = std::get_if<TokenEvent>(&event)) {
        fetched_bytes_ += token->text.size();
      }
    }
  }
  if (!events.empty() && !std::holds_alternative<TokenEvent>(events.back())) {
    reportAnswerOver();
  }
  return events;
}

void AnswerSession::reportAnswerOver() {
  streams::Transcript transcript;
  std::optional<EndEvent> end;
  {
    absl::MutexLock lock(&mutex_);
    if (std::exchange(over_reported_, true)) {
      return;
    }
    transcript = stream_.transcript();
    end = stream_.end();
  }
  director_->onAnswerOver(transcript, end);
}

void AnswerSession::reportAttemptOver(AttemptNumber attempt, const std::optional<Usage>& usage,
                                      const std::optional<Error>& error) {
  AttemptTarget target;
  {
    absl::MutexLock lock(&mutex_);
    AttemptState& state = attempts_[attempt];
    if (std::exchange(state.over_reported, true)) {
      return;
    }
    target = state.target;
  }
  director_->onAttemptOver(target, usage, error);
}

bool AnswerSession::onEngineEvent(AttemptNumber attempt, AnswerEvent event) {
  {
    absl::MutexLock lock(&mutex_);
    AttemptState& state = attempts_[attempt];
    // Not reading is what holds a fast engine back from a slow caller.
    const auto may_read = [&state] { return !state.paused || state.over; };
    mutex_.Await(absl::Condition(&may_read));
    if (state.over) {
      return false;
    }
  }
  feed(std::move(event));
  absl::MutexLock lock(&mutex_);
  return !attempts_[attempt].over;
}

void AnswerSession::feed(AnswerEvent event) {
  absl::MutexLock lock(&mutex_);
  for (AnswerAction& action : stream_.handle(std::move(event))) {
    carryOut(std::move(action));
  }
}

void AnswerSession::carryOut(AnswerAction action) {
  if (auto* token = std::get_if<streams::DeliverToken>(&action)) {
    ready_.push_back(TokenEvent{token->offset, std::move(token->text)});
  } else if (auto* end = std::get_if<streams::DeliverEnd>(&action)) {
    ready_.push_back(end->end);
  } else if (auto* cut = std::get_if<streams::DeliverCut>(&action)) {
    ready_.push_back(CutEvent{std::move(cut->error)});
  } else if (auto* start = std::get_if<streams::StartAttempt>(&action)) {
    resources_.run_blocking([self = shared_from_this(), start = std::move(*start)]() mutable {
      self->startAttempt(std::move(start));
    });
  } else if (const auto* resume = std::get_if<streams::ResumeAtEngine>(&action)) {
    resources_.run_blocking([self = shared_from_this(), resume = *resume] {
      self->resumeAttempt(resume.attempt, resume.from_offset);
    });
  } else if (const auto* cancel = std::get_if<streams::CancelAtEngine>(&action)) {
    cancelAttempt(cancel->attempt);
  } else if (const auto* pause = std::get_if<streams::PauseReading>(&action)) {
    attempts_[pause->attempt].paused = true;
  } else if (const auto* reading = std::get_if<streams::ResumeReading>(&action)) {
    attempts_[reading->attempt].paused = false;
  }
}

engine::EngineRequest AnswerSession::attemptRequest(AttemptNumber attempt,
                                                    const AttemptTarget& target) const {
  engine::EngineRequest request = template_;
  request.attempt = attempt;
  request.request = RequestId(absl::StrCat(template_.request.value(), "-", life_, "-", attempt.value()));
  request.cache_salt = target.cache_salt;
  request.incarnation = target.incarnation;
  request.weights_version = target.weights_version;
  return request;
}

void AnswerSession::startAttempt(streams::StartAttempt start) {
  std::vector<BackEndId> tried;
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [number, state] : attempts_) {
      tried.push_back(state.target.engine);
    }
  }
  Result<AttemptTarget> target = director_->chooseTarget(tried);
  if (target.has_error()) {
    feed(streams::EngineLost{start.attempt, std::move(target).error()});
    return;
  }
  engine::EngineRequest request = attemptRequest(start.attempt, target.value());
  request.generated_prefix = std::move(start.generated_prefix);
  request.resume_from = start.from_offset;
  bool cancelled = false;
  {
    absl::MutexLock lock(&mutex_);
    AttemptState& state = attempts_[start.attempt];
    cancelled = state.over;  // while the engine was being chosen
    state.target = target.value();
  }
  if (cancelled) {
    reportAttemptOver(start.attempt, std::nullopt, std::nullopt);
    return;
  }
  AttemptSink sink(*this, start.attempt, target.value());
  resources_.engines.run(target.value().address, request, sink);
}

void AnswerSession::resumeAttempt(AttemptNumber attempt, uint64_t from_offset) {
  AttemptTarget target;
  {
    absl::MutexLock lock(&mutex_);
    const AttemptState& state = attempts_[attempt];
    if (state.over) {
      return;
    }
    target = state.target;
  }
  AttemptSink sink(*this, attempt, target);
  resources_.engines.resume(target.address, attemptRequest(attempt, target), from_offset, sink);
}

void AnswerSession::cancelAttempt(AttemptNumber attempt) {
  AttemptState& state = attempts_[attempt];
  if (std::exchange(state.over, true) || state.target.engine.empty()) {
    return;
  }
  resources_.run_blocking([self = shared_from_this(), attempt, target = state.target] {
    self->reportAttemptOver(attempt, std::nullopt, std::nullopt);
    const engine::EngineRequest request = self->attemptRequest(attempt, target);
    static_cast<void>(self->resources_.engines.cancel(target.address, request.request));
  });
}

}  // namespace quincewick::node
