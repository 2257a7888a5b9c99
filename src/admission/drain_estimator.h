// Estimates how fast waiting work is started, for deadlines and Retry-After.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>

#include "types/urgency.h"

namespace quincewick::admission {

// Follows the mean cost and duration of requests, and the rate at which each class starts work. A plain value
// without threads.
class DrainEstimator {
 public:
  void recordStart(Urgency urgency, double cost, absl::Time now);
  void recordFinish(double cost, absl::Duration duration);

  // Engine work that `concurrency` slots finish in a second; 0 while nothing is known.
  double drainRate(double concurrency) const;

  // Engine work a second that is left for the class once more urgent classes are served, and never less than
  // `minimum_share` of the whole; 0 while nothing is known.
  double availableRate(Urgency urgency, double concurrency, double minimum_share, absl::Time now) const;

 private:
  // A rate whose past fades exponentially.
  struct FadingRate {
    double weighted_sum = 0;
    absl::Time updated = absl::InfinitePast();
  };

  double startRate(const FadingRate& rate, absl::Time now) const;

  std::array<FadingRate, kAllUrgencies.size()> starts_;
  double mean_cost_ = 0;
  double mean_duration_seconds_ = 0;
  size_t finished_ = 0;
};

}  // namespace quincewick::admission
