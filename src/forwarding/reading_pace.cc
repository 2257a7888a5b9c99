#include "forwarding/reading_pace.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kLongestRetry = absl::Seconds(1);
constexpr double kJitter = 0.3;

absl::Duration spread(absl::Duration pause, absl::BitGenRef random) {
  return pause * (1 + kJitter * absl::Uniform(random, -1.0, 1.0));
}

}  // namespace

void ReadingPace::restart() {
  retry_pause_ = kShortestRetry;
}

absl::Duration ReadingPace::afterFailedWhole(absl::BitGenRef random) {
  const absl::Duration pause = retry_pause_;
  retry_pause_ = std::min(retry_pause_ * 2, kLongestRetry);
  return spread(pause, random);
}

absl::Duration ReadingPace::afterWhole(absl::BitGenRef random) {
  retry_pause_ = kShortestRetry;
  return spread(settings_.whole_every, random);
}

}  // namespace quincewick::forwarding
