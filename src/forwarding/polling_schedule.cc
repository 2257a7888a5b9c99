#include "forwarding/polling_schedule.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kMaxRetryPause = absl::Seconds(1);
constexpr double kJitter = 0.3;

absl::Duration withJitter(absl::Duration pause, absl::BitGenRef random) {
  return pause * (1 + kJitter * absl::Uniform(random, -1.0, 1.0));
}

}  // namespace

void PollingSchedule::restart() {
  retry_pause_ = kMinRetryPause;
}

absl::Duration PollingSchedule::afterFailedSnapshot(absl::BitGenRef random) {
  const absl::Duration pause = retry_pause_;
  retry_pause_ = std::min(retry_pause_ * 2, kMaxRetryPause);
  return withJitter(pause, random);
}

absl::Duration PollingSchedule::afterSnapshot(absl::BitGenRef random) {
  retry_pause_ = kMinRetryPause;
  return withJitter(settings_.snapshot_period, random);
}

}  // namespace quincewick::forwarding
