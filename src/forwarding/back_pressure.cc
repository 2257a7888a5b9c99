#include "forwarding/back_pressure.h"

#include <algorithm>

namespace quincewick::forwarding {
namespace {

// A server that takes less is still sent a request now and then: only its answers tell when the limit ends.
constexpr double kLeastRate = 0.25;
// Its rate may rise or its limit end meanwhile.
constexpr absl::Duration kLongestPause = absl::Seconds(1);

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

}  // namespace quincewick::forwarding
