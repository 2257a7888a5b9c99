#include "admission/retry_budget.h"

#include <algorithm>

namespace quincewick::admission {

void RetryBudget::recordRequest(absl::Time now) {
  advance(now);
  ++steps_[static_cast<size_t>(current_step_) % kSteps].requests;
}

bool RetryBudget::trySpend(absl::Time now) {
  if (remaining(now) < 1) {
    return false;
  }
  ++steps_[static_cast<size_t>(current_step_) % kSteps].retries;
  return true;
}

double RetryBudget::remaining(absl::Time now) {
  advance(now);
  double requests = 0;
  double retries = 0;
  for (const Step& step : steps_) {
    requests += step.requests;
    retries += step.retries;
  }
  const double minimum = configuration_.minimum_per_second * absl::ToDoubleSeconds(configuration_.window);
  return std::max(minimum, configuration_.ratio * requests) - retries;
}

void RetryBudget::advance(absl::Time now) {
  const absl::Duration step_length = configuration_.window / kSteps;
  const auto step = static_cast<int64_t>(absl::FDivDuration(now - absl::UnixEpoch(), step_length));
  const int64_t first_stale = std::max(current_step_ + 1, step - static_cast<int64_t>(kSteps) + 1);
  for (int64_t stale = first_stale; stale <= step; ++stale) {
    steps_[static_cast<size_t>(stale) % kSteps] = Step();
  }
  current_step_ = std::max(current_step_, step);
}

}  // namespace quincewick::admission
