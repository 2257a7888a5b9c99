#include "node/admission_gate.h"

#include <string>
#include <utility>
#include <variant>

namespace quincewick::node {
namespace {

ErrorCode errorCodeOf(admission::RefusalClass refusal_class) {
  switch (refusal_class) {
    case admission::RefusalClass::kTenantOverLimit:
      return ErrorCode::kResourceExhausted;
    case admission::RefusalClass::kOverloaded:
      return ErrorCode::kUnavailable;
    case admission::RefusalClass::kInvalid:
      return ErrorCode::kInvalidArgument;
  }
  return ErrorCode::kUnavailable;
}

Error refusalError(const admission::Refusal& refusal) {
  Error error;
  error.code = errorCodeOf(refusal.refusal_class);
  error.message = std::string("refused: ") + std::string(admission::refusalReasonName(refusal.reason));
  error.execution = refusal.execution;
  error.retry_after = refusal.retry_after;
  return error;
}

}  // namespace

AdmissionGate::AdmissionGate(const admission::AdmissionConfiguration& configuration,
                             std::function<absl::Time()> clock, uint64_t seed)
    : clock_(std::move(clock)),
      controller_(configuration),
      random_(seed),
      ticker_([this] { tickUntilStopped(); }) {}

AdmissionGate::~AdmissionGate() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    tick_changed_.Signal();
  }
  ticker_.join();
}

Result<void> AdmissionGate::enter(admission::RequestOffered offered) {
  const RequestId id = offered.request.id;
  Verdict verdict;
  absl::MutexLock lock(&mutex_);
  if (!waiting_.emplace(id, &verdict).second) {
    return fail(ErrorCode::kInvalidArgument, "a request with this id is waiting");
  }
  feed(std::move(offered));
  mutex_.Await(absl::Condition(&verdict, &Verdict::reached));
  waiting_.erase(id);
  if (verdict.refusal.has_value()) {
    return outcome::failure(refusalError(*verdict.refusal));
  }
  return outcome::success();
}

void AdmissionGate::firstToken(const RequestId& request) {
  absl::MutexLock lock(&mutex_);
  feed(admission::FirstTokenArrived{request});
}

void AdmissionGate::finished(const RequestId& request, admission::FinishKind kind) {
  absl::MutexLock lock(&mutex_);
  feed(admission::RequestFinished{request, kind});
}

void AdmissionGate::reconfigure(const admission::AdmissionConfiguration& configuration) {
  absl::MutexLock lock(&mutex_);
  feed(admission::AdmissionReconfigured{configuration});
}

size_t AdmissionGate::waiting() {
  absl::MutexLock lock(&mutex_);
  return controller_.waiting();
}

size_t AdmissionGate::inFlight() {
  absl::MutexLock lock(&mutex_);
  return controller_.inFlight();
}

void AdmissionGate::feed(admission::AdmissionEvent event) {
  for (admission::AdmissionAction& action : controller_.handle(std::move(event), clock_(), random_)) {
    if (const auto* start = std::get_if<admission::Start>(&action)) {
      waiting_.at(start->request.id)->started = true;
    } else {
      auto& refuse = std::get<admission::Refuse>(action);
      waiting_.at(refuse.id)->refusal = refuse.refusal;
    }
  }
  const absl::Time wakeup = controller_.nextWakeup();
  if (wakeup < next_tick_) {
    tick_changed_.Signal();
  }
  next_tick_ = wakeup;
}

void AdmissionGate::tickUntilStopped() {
  absl::MutexLock lock(&mutex_);
  while (!stopping_) {
    const absl::Duration pause = next_tick_ - clock_();
    if (pause <= absl::ZeroDuration()) {
      feed(admission::Tick{});
    } else {
      tick_changed_.WaitWithTimeout(&mutex_, pause);
    }
  }
}

}  // namespace quincewick::node
