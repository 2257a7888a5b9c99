// Bounds how often a gateway sends a message to all peers: a token bucket.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace quincewick::gateway {

class BroadcastBudget {
 public:
  BroadcastBudget(double per_second, double burst) : per_second_(per_second), burst_(burst) {}

  // Takes one broadcast; false if none is left.
  bool tryTake(absl::Time now) {
    const double seconds = std::min(absl::ToDoubleSeconds(now - updated_), burst_ / per_second_);
    tokens_ = std::min(burst_, tokens_ + seconds * per_second_);
    updated_ = now;
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }
  // Time until one more is available where none is left.
  absl::Duration interval() const { return absl::Seconds(1 / per_second_); }

 private:
  double per_second_;
  double burst_;
  double tokens_ = 0;
  absl::Time updated_ = absl::InfinitePast();
};

}  // namespace quincewick::gateway
