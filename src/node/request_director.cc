#include "node/request_director.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace quincewick::node {
namespace {

constexpr absl::Duration kRetryAfterBudgetSpent = absl::Seconds(1);
// Below this the expectation is no measure of an engine.
constexpr absl::Duration kShortestExpectedFirstToken = absl::Milliseconds(5);

}  // namespace

RequestDirector::RequestDirector(InferenceRequest request, routing::RouteDecision decision,
                                 std::string cache_salt, DirectorResources resources)
    : request_(std::move(request)),
      decision_(std::move(decision)),
      cache_salt_(std::move(cache_salt)),
      resources_(std::move(resources)) {}

Result<void> RequestDirector::permitAttempt(bool is_first) {
  if (is_first) {
    resources_.health.firstAttempt();
    return outcome::success();
  }
  bool is_continuation = false;
  {
    absl::MutexLock lock(&mutex_);
    is_continuation = first_token_seen_;
  }
  // A stream under way is always continued: its caller can't ask again without losing what it has.
  if (is_continuation || resources_.health.tryRetry()) {
    return outcome::success();
  }
  Error error{ErrorCode::kUnavailable, "the engine failed and no retry may be spent", Execution::kNotRun};
  error.retry_after = kRetryAfterBudgetSpent;
  return outcome::failure(error);
}

Result<routing::Placement> RequestDirector::place(const std::vector<BackEndId>& tried) {
  Result<routing::Placement> placement =
      resources_.router.choose(request_, decision_, routing::ChooseOptions{tried});
  if (placement.has_error() && !tried.empty()) {
    // Better an engine that failed once than none.
    placement = resources_.router.choose(request_, decision_, routing::ChooseOptions{});
  }
  return placement;
}

Result<AttemptTarget> RequestDirector::chooseTarget(const std::vector<BackEndId>& tried) {
  BOOST_OUTCOME_TRYV(permitAttempt(tried.empty()));
  BOOST_OUTCOME_TRY(chosen, place(tried));
  AttemptTarget target;
  {
    absl::MutexLock lock(&mutex_);
    target.dispatch = RequestId(absl::StrCat(request_.id.value(), "/", ++dispatches_));
  }
  target.engine = chosen.engine;
  target.address = chosen.address;
  target.incarnation = chosen.incarnation;
  target.weights_version = chosen.weights_version;
  target.cache_salt = cache_salt_;
  target.sent = resources_.clock();
  target.expected_first_token = chosen.expected_first_token;
  resources_.health.sent(chosen.engine);
  InferenceRequest dispatched = request_;
  dispatched.id = target.dispatch;
  resources_.router.handle(
      routing::RequestSent{std::move(dispatched), chosen.engine, chosen.expected_cached_tokens});
  LOG(INFO) << "event=attempt trace=" << request_.id << " tenant=" << request_.tenant
            << " engine=" << chosen.engine << " group=" << chosen.group
            << " expected_first_token=" << chosen.expected_first_token
            << " expected_cached_tokens=" << chosen.expected_cached_tokens;
  return target;
}

void RequestDirector::onObservation(const AttemptTarget& target,
                                    const engine::EngineObservation& observation) {
  resources_.router.handle(routing::LoadReported{target.engine, observation.load, resources_.clock()});
}

void RequestDirector::onFirstToken(const AttemptTarget& target) {
  resources_.router.handle(routing::FirstTokenSeen{target.dispatch, target.engine, target.incarnation});
  const absl::Duration expected = std::max(target.expected_first_token, kShortestExpectedFirstToken);
  resources_.health.succeeded(target.engine, absl::FDivDuration(resources_.clock() - target.sent, expected));
  {
    absl::MutexLock lock(&mutex_);
    if (std::exchange(first_token_seen_, true)) {
      return;
    }
  }
  resources_.health.firstToken(request_.kind, resources_.clock() - target.sent);
  resources_.gate.firstToken(request_.id);
  resources_.metrics.firstToken(request_.urgency, resources_.clock() - request_.arrival);
}

void RequestDirector::onAttemptOver(const AttemptTarget& target, const std::optional<Usage>& usage,
                                    const std::optional<Error>& error) {
  resources_.router.handle(routing::RequestEnded{target.dispatch, target.engine, target.incarnation, usage});
  absl::MutexLock lock(&mutex_);
  if (usage.has_value()) {
    finish_kind_ = admission::FinishKind::kCompleted;
    resources_.metrics.answerFinished(*usage);
  }
  if (error.has_value()) {
    resources_.health.failed(target.engine, *error);
    const bool overloaded = error->code == ErrorCode::kResourceExhausted;
    finish_kind_ = overloaded ? admission::FinishKind::kOverloaded : admission::FinishKind::kFailed;
    resources_.metrics.attemptLost(*error);
    LOG(WARNING) << "event=attempt_lost trace=" << request_.id << " engine=" << target.engine
                 << " type=" << errorCodeName(error->code) << " ran=" << executionName(error->execution)
                 << " reason=\"" << error->message << "\"";
  }
}

void RequestDirector::onAnswerOver(const streams::Transcript& transcript,
                                   const std::optional<EndEvent>& end) {
  admission::FinishKind kind = admission::FinishKind::kFailed;
  {
    absl::MutexLock lock(&mutex_);
    kind = finish_kind_;
  }
  resources_.gate.finished(request_.id, kind);
  resources_.keep_answer(transcript, end);
}

}  // namespace quincewick::node
