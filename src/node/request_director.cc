#include "node/request_director.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <utility>

namespace quincewick::node {

RequestDirector::RequestDirector(InferenceRequest request, routing::RouteDecision decision,
                                 std::string cache_salt, DirectorResources resources)
    : request_(std::move(request)),
      decision_(std::move(decision)),
      cache_salt_(std::move(cache_salt)),
      resources_(std::move(resources)) {}

Result<AttemptTarget> RequestDirector::chooseTarget(const std::vector<BackEndId>& tried) {
  Result<routing::Placement> placement =
      resources_.router.choose(request_, decision_, routing::ChooseOptions{tried});
  if (placement.has_error() && !tried.empty()) {
    // Better an engine that failed once than none.
    placement = resources_.router.choose(request_, decision_, routing::ChooseOptions{});
  }
  BOOST_OUTCOME_TRY(chosen, std::move(placement));
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
  {
    absl::MutexLock lock(&mutex_);
    if (std::exchange(first_token_seen_, true)) {
      return;
    }
  }
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
    const bool overloaded = error->code == ErrorCode::kResourceExhausted;
    finish_kind_ = overloaded ? admission::FinishKind::kOverloaded : admission::FinishKind::kFailed;
    resources_.metrics.attemptLost(*error);
    LOG(WARNING) << "event=attempt_lost trace=" << request_.id << " engine=" << target.engine
                 << " type=" << errorCodeName(error->code) << " ran=" << executionName(error->execution)
                 << " reason=\"" << error->message << "\"";
  }
}

void RequestDirector::onAnswerOver() {
  admission::FinishKind kind = admission::FinishKind::kFailed;
  {
    absl::MutexLock lock(&mutex_);
    kind = finish_kind_;
  }
  resources_.gate.finished(request_.id, kind);
}

}  // namespace quincewick::node
