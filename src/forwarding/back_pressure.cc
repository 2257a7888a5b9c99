#include "forwarding/back_pressure.h"

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

// A server that takes less is still sent a request now and then: only its answers tell when the limit ends.
constexpr double kLeastRate = 0.25;
// Its rate may rise or its limit end meanwhile.
constexpr absl::Duration kLongestPause = absl::Seconds(1);
// Past it the server is asked again: a value that is wrong by orders must not lose a server for good.
constexpr absl::Duration kLongestRest = absl::Minutes(5);
// Until then the first request after a rest has mostly been answered.
constexpr absl::Duration kTrialTime = absl::Milliseconds(250);

}  // namespace

bool BackPressure::noteRateLimit(std::optional<double> rate) {
  const bool is_news = rate != rate_limit_;
  rate_limit_ = rate;
  if (!rate) {
    rate_used_up_until_ = absl::InfinitePast();
  }
  return is_news;
}

absl::Duration BackPressure::timePerRequest() const {
  return rate_limit_ ? absl::Seconds(1 / std::max(*rate_limit_, kLeastRate)) : absl::ZeroDuration();
}

void BackPressure::noteRateUsedUp(absl::Duration retry_after, absl::Time now) {
  rate_used_up_until_ = now + std::min(retry_after, kLongestPause);
}

bool BackPressure::noteLeaving() {
  return !std::exchange(is_leaving_, true);
}

// A later answer may tell of a rest that ends sooner, as one to another request: the longest one holds.
bool BackPressure::noteBackOff(absl::Duration rest, absl::Time now) {
  const absl::Time until = now + std::min(rest, kLongestRest);
  if (until <= std::max(now, rests_until_)) {
    return false;
  }
  rests_until_ = until;
  is_half_open_ = true;
  trial_until_ = absl::InfinitePast();
  return true;
}

void BackPressure::noteSent(absl::Time now) {
  if (is_half_open_) {
    trial_until_ = now + kTrialTime;
  }
}

// What was sent before the rest may be answered during it.
void BackPressure::noteResponse(absl::Time now) {
  if (is_half_open_ && !isBackingOff(now)) {
    is_half_open_ = false;
    trial_until_ = absl::InfinitePast();
  }
}

absl::Time BackPressure::availableAt() const {
  return std::max({rate_used_up_until_, rests_until_, trial_until_});
}

}  // namespace quincewick::forwarding
