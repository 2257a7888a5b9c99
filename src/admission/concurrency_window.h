// How many requests may be in flight to the fleet at once, learnt from how much slower than expected they
// are.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "types/urgency.h"

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
  // The window never falls below this share of the maximum: an engine with a request or two is not
  // overloaded, and a window that has closed learns nothing.
  double floor_share = 1.0 / 16;
  // A request's slowdown is its time to first token after the start over the time expected for it. This much
  // is tolerated, as a multiple of the slowdown seen when little was in flight.
  double tolerated_slowdown = 1.4;
  // The window changes at most once in this time ...
  absl::Duration adjustment_interval = absl::Milliseconds(100);
  // ... and after at least this many samples.
  uint32_t samples_per_adjustment = 8;
};

// Judges by the most urgent class that gives enough samples, as that is the one to protect. A plain value
// without threads. Deterministic in its inputs; the caller gives the time.
class ConcurrencyWindow {
 public:
  explicit ConcurrencyWindow(const WindowConfiguration& configuration);

  // Requests that may be in flight; always between the configured minimum and maximum.
  double limit() const { return limit_; }

  // One first token of a request of the class arrived; `in_flight` requests were in flight at that moment.
  void recordFirstToken(Urgency urgency, double slowdown, double in_flight, absl::Time now);

  // A back end turned a request away because it was full: the window shrinks at once, once an interval.
  void recordOverload(absl::Time now);

  // The fleet behind the window grew or shrank: sets the bounds and scales the window by the same factor.
  void setMaximum(double maximum);

 private:
  // The median slowdown of the most urgent class with enough samples; 0 when none has.
  double medianSlowdown();
  void updateBaseline(double slowdown, absl::Duration elapsed);
  void adjust(double slowdown, double in_flight);
  void setLimit(double limit);

  static constexpr size_t kMostSamples = 256;

  WindowConfiguration configuration_;
  double limit_;
  absl::Time last_adjustment_ = absl::InfinitePast();
  double in_flight_peak_ = 0;
  double baseline_ = 0;  // the slowdown seen when little was in flight; 0: not known
  // By class, since the last adjustment, at most kMostSamples each.
  std::array<std::vector<float>, kAllUrgencies.size()> slowdowns_;
};

}  // namespace quincewick::admission
