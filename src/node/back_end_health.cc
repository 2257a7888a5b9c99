#include "node/back_end_health.h"

#include <utility>

namespace quincewick::node {
namespace {

bool isFailureOfEngine(const Error& error) {
  return error.code == ErrorCode::kUnavailable || error.code == ErrorCode::kInternal ||
         error.code == ErrorCode::kOutcomeUnknown || error.code == ErrorCode::kDeadlineExceeded;
}

admission::OutlierConfiguration outlierConfiguration(const configuration::RetryPolicy& policy) {
  admission::OutlierConfiguration configuration;
  configuration.failures_in_a_row = policy.ejection_failures;
  configuration.ejection_time = policy.ejection_time;
  return configuration;
}

admission::RetryBudgetConfiguration retryConfiguration(const configuration::RetryPolicy& policy) {
  admission::RetryBudgetConfiguration configuration;
  configuration.ratio = policy.retry_share;
  return configuration;
}

admission::HedgeConfiguration hedgeConfiguration(const configuration::RetryPolicy& policy) {
  admission::HedgeConfiguration configuration;
  configuration.budget.ratio = policy.hedge_share;
  return configuration;
}

}  // namespace

BackEndHealth::BackEndHealth(std::function<absl::Time()> clock)
    : clock_(std::move(clock)),
      outliers_(outlierConfiguration({})),
      retries_(retryConfiguration({})),
      hedges_(hedgeConfiguration({})) {}

void BackEndHealth::configure(const configuration::RetryPolicy& policy) {
  absl::MutexLock lock(&mutex_);
  outliers_ = admission::OutlierDetector(outlierConfiguration(policy));
  outliers_.setGroup(engines_);
  retries_ = admission::RetryBudget(retryConfiguration(policy));
  hedges_ = admission::HedgePolicy(hedgeConfiguration(policy));
}

void BackEndHealth::setEngines(const std::vector<BackEndId>& engines) {
  absl::MutexLock lock(&mutex_);
  engines_ = engines;
  outliers_.setGroup(engines);
}

void BackEndHealth::firstAttempt() {
  absl::MutexLock lock(&mutex_);
  retries_.recordRequest(clock_());
}

bool BackEndHealth::tryRetry() {
  absl::MutexLock lock(&mutex_);
  return retries_.trySpend(clock_());
}

std::optional<absl::Duration> BackEndHealth::hedgeDelay(const admission::HedgeCandidate& candidate) {
  absl::MutexLock lock(&mutex_);
  return hedges_.onSent(candidate, clock_());
}

bool BackEndHealth::tryHedge(const admission::HedgeCandidate& candidate) {
  absl::MutexLock lock(&mutex_);
  return hedges_.tryHedge(candidate, clock_());
}

void BackEndHealth::firstToken(const RequestKind& kind, absl::Duration latency) {
  absl::MutexLock lock(&mutex_);
  hedges_.onFirstToken(kind, latency);
}

void BackEndHealth::sent(const BackEndId& engine) {
  absl::MutexLock lock(&mutex_);
  outliers_.probeSent(engine, clock_());
}

void BackEndHealth::succeeded(const BackEndId& engine, double slowdown) {
  absl::MutexLock lock(&mutex_);
  // The detector compares latencies between engines. Prompts differ too much for that: it is given each
  // attempt's slowdown, as so many seconds.
  outliers_.record(engine, absl::Seconds(slowdown), clock_());
}

void BackEndHealth::failed(const BackEndId& engine, const Error& error) {
  if (!isFailureOfEngine(error)) {
    return;
  }
  absl::MutexLock lock(&mutex_);
  outliers_.record(engine, std::nullopt, clock_());
}

std::vector<BackEndHealth::Change> BackEndHealth::takeChanges() {
  absl::MutexLock lock(&mutex_);
  std::vector<Change> changes;
  for (const BackEndId& engine : engines_) {
    const bool ejected = !outliers_.accepts(engine, clock_());
    if (ejected == ejected_.contains(engine)) {
      continue;
    }
    changes.push_back(Change{engine, ejected});
    if (ejected) {
      ejected_.insert(engine);
    } else {
      ejected_.erase(engine);
    }
  }
  return changes;
}

}  // namespace quincewick::node
