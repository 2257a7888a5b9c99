// Stops sending to one back end that keeps failing, and tries it again with a few requests.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quincewick::admission {

struct CircuitBreakerConfiguration {
  uint32_t failures_to_open = 5;  // in a row
  absl::Duration open_time = absl::Seconds(1);
  absl::Duration longest_open_time = absl::Seconds(30);  // it doubles with each failed trial
  uint32_t trials = 2;  // requests at once while half-open; as many successes close it
};

enum class CircuitState : uint8_t { kClosed, kOpen, kHalfOpen };

// One for each back end. A plain value without threads. Each admitted request must be followed by one record.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(const CircuitBreakerConfiguration& configuration)
      : configuration_(configuration), open_time_(configuration.open_time) {}

  // May a request be sent now? A trial is counted when it says yes while half-open.
  bool tryAdmit(absl::Time now);
  void recordSuccess(absl::Time now);
  void recordFailure(absl::Time now);
  // An admitted request ended without telling anything, such as by the caller's cancellation.
  void recordAbandoned();

  CircuitState state(absl::Time now) const;

 private:
  void open(absl::Time now);

  CircuitBreakerConfiguration configuration_;
  absl::Duration open_time_;
  bool closed_ = true;
  absl::Time open_until_ = absl::InfinitePast();
  uint32_t failures_ = 0;
  uint32_t trials_in_flight_ = 0;
  uint32_t trial_successes_ = 0;
};

}  // namespace quincewick::admission
