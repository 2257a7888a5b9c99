#include "admission/drain_estimator.h"

#include <algorithm>
#include <cmath>

namespace quincewick::admission {
namespace {

constexpr double kFadingSeconds = 5;
constexpr double kSmoothing = 1.0 / 64;

double fade(double value, absl::Time since, absl::Time now) {
  const double elapsed = std::max(0.0, absl::ToDoubleSeconds(now - since));
  return value * std::exp(-elapsed / kFadingSeconds);
}

}  // namespace

void DrainEstimator::recordStart(Urgency urgency, double cost, absl::Time now) {
  FadingRate& rate = starts_[static_cast<size_t>(urgency)];
  rate.weighted_sum = fade(rate.weighted_sum, rate.updated, now) + cost;
  rate.updated = now;
}

void DrainEstimator::recordFinish(double cost, absl::Duration duration) {
  ++finished_;
  // A plain mean at first, so that the first samples don't count for ever.
  const double step = std::max(kSmoothing, 1.0 / static_cast<double>(finished_));
  mean_cost_ += step * (cost - mean_cost_);
  mean_duration_seconds_ += step * (absl::ToDoubleSeconds(duration) - mean_duration_seconds_);
}

double DrainEstimator::drainRate(double concurrency) const {
  if (finished_ == 0 || mean_duration_seconds_ <= 0) {
    return 0;
  }
  return concurrency * mean_cost_ / mean_duration_seconds_;
}

double DrainEstimator::availableRate(Urgency urgency, double concurrency, double minimum_share,
                                     absl::Time now) const {
  const double whole = drainRate(concurrency);
  double available = whole;
  for (size_t more_urgent = 0; more_urgent < static_cast<size_t>(urgency); ++more_urgent) {
    available -= startRate(starts_[more_urgent], now);
  }
  return std::max(available, minimum_share * whole);
}

double DrainEstimator::startRate(const FadingRate& rate, absl::Time now) const {
  return fade(rate.weighted_sum, rate.updated, now) / kFadingSeconds;
}

}  // namespace quincewick::admission
