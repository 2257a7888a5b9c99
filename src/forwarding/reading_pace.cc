#include "forwarding/reading_pace.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kLongestRetry = absl::Seconds(1);
// At a start another may soon be found that reads the store for this gateway.
constexpr absl::Duration kFirstPause = absl::Milliseconds(2200);
constexpr double kJitter = 0.3;

absl::Duration spread(absl::Duration pause, absl::BitGenRef random) {
  return pause * (1 + kJitter * absl::Uniform(random, -1.0, 1.0));
}

}  // namespace

void ReadingPace::restart() {
  was_answered_ = false;
  retry_pause_ = kShortestRetry;
}

absl::Duration ReadingPace::afterFailedWhole(absl::BitGenRef random) {
  const absl::Duration pause = retry_pause_;
  retry_pause_ = std::min(retry_pause_ * 2, kLongestRetry);
  return spread(pause, random);
}

absl::Duration ReadingPace::afterWhole(absl::BitGenRef random) {
  retry_pause_ = kShortestRetry;
  const bool is_first = !std::exchange(was_answered_, true);
  return spread(is_first ? kFirstPause : settings_.whole_every, random);
}

absl::Duration ReadingPace::untilFirstChanges() const {
  return std::max(settings_.pause, kFirstPause);
}

}  // namespace quincewick::forwarding
