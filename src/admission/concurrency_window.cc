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

// The baseline doubles in this time if nothing as fast is seen again.
constexpr absl::Duration kBaselineDoubling = absl::Hours(2);

}  // namespace

ConcurrencyWindow::ConcurrencyWindow(const WindowConfiguration& configuration)
    : configuration_(configuration),
      limit_(std::clamp(configuration.initial, configuration.minimum, configuration.maximum)) {}

void ConcurrencyWindow::recordFirstToken(Urgency urgency, double slowdown, double in_flight, absl::Time now) {
  std::vector<float>& samples = slowdowns_[static_cast<size_t>(urgency)];
  if (samples.size() < kMostSamples) {
    samples.push_back(static_cast<float>(slowdown));
  }
  in_flight_peak_ = std::max(in_flight_peak_, in_flight);
  const absl::Duration elapsed = now - last_adjustment_;
  if (elapsed < configuration_.adjustment_interval) {
    return;
  }
  const double median = medianSlowdown();
  if (median <= 0) {
    return;
  }
  updateBaseline(median, elapsed);
  // Requests from before the last decrease are still in flight: their slowdown says nothing of the new limit.
  const bool settled = in_flight <= limit_;
  if (settled || median <= configuration_.tolerated_slowdown * baseline_) {
    adjust(median / baseline_, in_flight_peak_);
  }
  last_adjustment_ = now;
  in_flight_peak_ = 0;
  for (std::vector<float>& recorded : slowdowns_) {
    recorded.clear();
  }
}

// The median, as a prompt that was not in the cache after all is no sign of a queue.
double ConcurrencyWindow::medianSlowdown() {
  for (std::vector<float>& samples : slowdowns_) {
    if (samples.size() < configuration_.samples_per_adjustment) {
      continue;
    }
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
    std::nth_element(samples.begin(), middle, samples.end());
    return *middle;
  }
  return 0;
}

void ConcurrencyWindow::updateBaseline(double slowdown, absl::Duration elapsed) {
  if (baseline_ <= 0) {
    baseline_ = slowdown;
    return;
  }
  // Forgets slowly, so that faster engines are noticed at once and slower ones in the end.
  const double forgotten = std::exp2(absl::FDivDuration(elapsed, kBaselineDoubling));
  baseline_ = std::min(baseline_ * forgotten, slowdown);
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

void ConcurrencyWindow::adjust(double slowdown, double in_flight) {
  const bool slow = slowdown > configuration_.tolerated_slowdown;
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
          std::clamp(configuration_.tolerated_slowdown / slowdown, kStrongestGradient, 1.0);
      const double target = limit_ * gradient + (slow ? 0 : std::sqrt(limit_));
      setLimit(limit_ + kGradientSmoothing * (target - limit_));
      return;
    }
  }
}

void ConcurrencyWindow::setLimit(double limit) {
  const double lowest = std::max(configuration_.minimum, configuration_.floor_share * configuration_.maximum);
  limit_ = std::clamp(limit, lowest, configuration_.maximum);
}

}  // namespace quincewick::admission
