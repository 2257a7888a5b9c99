// How many requests may be in flight to the fleet at once, learnt from how much slower than expected they
// are.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quincewick::admission {

enum class WindowPolicy : uint8_t {
  kFixed,             // stays at `initial`
  kAdditiveIncrease,  // one more while fast, a tenth less when slow (AIMD)
  kGradient,          // follows the ratio of tolerated to observed slowdown
};

struct WindowConfiguration {
  WindowPolicy policy = WindowPolicy::kGradient;
  double initial = 32;
  double minimum = 1;
  double maximum = 4096;
  // Time to first token after the start, over the time expected of an unloaded engine.
  double tolerated_slowdown = 1.5;
  // The window changes at most once in this time ...
  absl::Duration adjustment_interval = absl::Milliseconds(100);
  // ... and after at least this many samples.
  uint32_t samples_per_adjustment = 8;
};

// A plain value without threads. Deterministic in its inputs; the caller gives the time.
class ConcurrencyWindow {
 public:
  explicit ConcurrencyWindow(const WindowConfiguration& configuration);

  // Requests that may be in flight; always between the configured minimum and maximum.
  double limit() const { return limit_; }

  // One first token arrived: `slowdown` is its time since the start over the expected time, `in_flight` the
  // number of requests in flight at that moment.
  void recordFirstToken(double slowdown, double in_flight, absl::Time now);

  // A back end turned a request away because it was full: the window shrinks at once, once an interval.
  void recordOverload(absl::Time now);

  // The fleet behind the window grew or shrank: sets the bounds and scales the window by the same factor.
  void setMaximum(double maximum);

 private:
  void adjust(double mean_slowdown, double in_flight);
  void setLimit(double limit);

  WindowConfiguration configuration_;
  double limit_;
  absl::Time last_adjustment_ = absl::InfinitePast();
  double slowdown_sum_ = 0;
  double in_flight_peak_ = 0;
  uint32_t samples_ = 0;
};

}  // namespace quincewick::admission
