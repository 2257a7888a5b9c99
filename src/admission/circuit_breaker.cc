#include "admission/circuit_breaker.h"

#include <algorithm>

namespace quincewick::admission {

CircuitState CircuitBreaker::state(absl::Time now) const {
  if (closed_) {
    return CircuitState::kClosed;
  }
  return now < open_until_ ? CircuitState::kOpen : CircuitState::kHalfOpen;
}

bool CircuitBreaker::tryAdmit(absl::Time now) {
  switch (state(now)) {
    case CircuitState::kClosed:
      return true;
    case CircuitState::kOpen:
      return false;
    case CircuitState::kHalfOpen:
      break;
  }
  if (trials_in_flight_ + trial_successes_ >= configuration_.trials) {
    return false;
  }
  ++trials_in_flight_;
  return true;
}

void CircuitBreaker::recordSuccess(absl::Time now) {
  failures_ = 0;
  // An answer to a request from before the circuit opened says nothing of the trials.
  if (state(now) != CircuitState::kHalfOpen || trials_in_flight_ == 0) {
    return;
  }
  --trials_in_flight_;
  ++trial_successes_;
  if (trial_successes_ >= configuration_.trials) {
    closed_ = true;
    open_time_ = configuration_.open_time;
  }
}

void CircuitBreaker::recordFailure(absl::Time now) {
  switch (state(now)) {
    case CircuitState::kClosed:
      if (++failures_ >= configuration_.failures_to_open) {
        open(now);
      }
      return;
    case CircuitState::kOpen:
      return;
    case CircuitState::kHalfOpen:
      if (trials_in_flight_ > 0) {
        open_time_ = std::min(open_time_ * 2, configuration_.longest_open_time);
        open(now);
      }
      return;
  }
}

void CircuitBreaker::recordAbandoned() {
  trials_in_flight_ -= std::min<uint32_t>(trials_in_flight_, 1);
}

void CircuitBreaker::open(absl::Time now) {
  closed_ = false;
  open_until_ = now + open_time_;
  failures_ = 0;
  trials_in_flight_ = 0;
  trial_successes_ = 0;
}

}  // namespace quincewick::admission
