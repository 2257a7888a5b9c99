// A running estimate of how long something takes, with its spread. Performs no I/O.
#pragma once

#include <absl/time/time.h>

namespace quincewick::forwarding {

class DurationEstimate {
 public:
  explicit DurationEstimate(absl::Duration initial) : mean_(initial), deviation_(initial / 2) {}

  void note(absl::Duration taken) {
    const absl::Duration error = taken - mean_;
    mean_ += kSmoothing * error;
    deviation_ += kSmoothing * (absl::AbsDuration(error) - deviation_);
  }
  absl::Duration mean() const { return mean_; }
  // The mean and so many deviations.
  absl::Duration upper(double deviations) const { return mean_ + deviations * deviation_; }

 private:
  static constexpr double kSmoothing = 0.1;

  absl::Duration mean_;
  absl::Duration deviation_;  // mean absolute deviation
};

}  // namespace quincewick::forwarding
