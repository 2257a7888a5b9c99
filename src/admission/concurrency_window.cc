#include "admission/concurrency_window.h"

#include <algorithm>
#include <cmath>

namespace quincewick::admission {
namespace {

constexpr double kDecreaseFactor = 0.9;
constexpr double kStrongestGradient = 0.5;
constexpr double kGradientSmoothing = 0.2;
// A window that is not filled tells nothing about a larger one.
constexpr double kFilledShare = 0.8;

}  // namespace

ConcurrencyWindow::ConcurrencyWindow(const WindowConfiguration& configuration)
    : configuration_(configuration),
      limit_(std::clamp(configuration.initial, configuration.minimum, configuration.maximum)) {}

void ConcurrencyWindow::recordFirstToken(double slowdown, double in_flight, absl::Time now) {
  slowdown_sum_ += slowdown;
  in_flight_peak_ = std::max(in_flight_peak_, in_flight);
  ++samples_;
  const bool enough_samples = samples_ >= configuration_.samples_per_adjustment;
  if (!enough_samples || now - last_adjustment_ < configuration_.adjustment_interval) {
    return;
  }
  adjust(slowdown_sum_ / samples_, in_flight_peak_);
  last_adjustment_ = now;
  slowdown_sum_ = 0;
  in_flight_peak_ = 0;
  samples_ = 0;
}

void ConcurrencyWindow::recordOverload(absl::Time now) {
  if (configuration_.policy == WindowPolicy::kFixed) {
    return;
  }
  if (now - last_adjustment_ < configuration_.adjustment_interval) {
    return;
  }
  setLimit(limit_ * kDecreaseFactor);
  last_adjustment_ = now;
}

void ConcurrencyWindow::setMaximum(double maximum) {
  const double bounded = std::max(maximum, configuration_.minimum);
  const double factor = bounded / configuration_.maximum;
  configuration_.maximum = bounded;
  setLimit(limit_ * factor);
}

void ConcurrencyWindow::adjust(double mean_slowdown, double in_flight) {
  const bool slow = mean_slowdown > configuration_.tolerated_slowdown;
  const bool filled = in_flight >= kFilledShare * limit_;
  switch (configuration_.policy) {
    case WindowPolicy::kFixed:
      return;
    case WindowPolicy::kAdditiveIncrease:
      if (slow) {
        setLimit(limit_ * kDecreaseFactor);
      } else if (filled) {
        setLimit(limit_ + 1);
      }
      return;
    case WindowPolicy::kGradient: {
      if (!slow && !filled) {
        return;
      }
      const double gradient =
          std::clamp(configuration_.tolerated_slowdown / mean_slowdown, kStrongestGradient, 1.0);
      const double target = limit_ * gradient + (slow ? 0 : std::sqrt(limit_));
      setLimit(limit_ + kGradientSmoothing * (target - limit_));
      return;
    }
  }
}

void ConcurrencyWindow::setLimit(double limit) {
  limit_ = std::clamp(limit, configuration_.minimum, configuration_.maximum);
}

}  // namespace quincewick::admission
