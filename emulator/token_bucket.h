// A rate limit with a burst.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace quincewick::emulator {

// Lets `rate` operations a second through, and up to `burst` at once after a rest. Not thread-safe.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst) : rate_(rate), burst_(std::max(burst, 1.0)), level_(burst_) {}

  // Takes one operation if the limit allows it at `now`.
  bool take(absl::Time now) {
    if (now > last_) {
      level_ = std::min(burst_, level_ + rate_ * absl::ToDoubleSeconds(now - last_));
      last_ = now;
    }
    if (level_ < 1) {
      return false;
    }
    level_ -= 1;
    return true;
  }

 private:
  double rate_;
  double burst_;
  double level_;
  absl::Time last_ = absl::UnixEpoch();
};

}  // namespace quincewick::emulator
