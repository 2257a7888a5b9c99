#include "forwarding/back_pressure.h"

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

// Requests a second. A server with a lower limit still gets requests, since only its responses show when the
// limit ends.
constexpr double kMinRate = 0.25;
// The rate may rise or the limit end meanwhile.
constexpr absl::Duration kMaxRatePause = absl::Seconds(1);
// Upper limit, so that a value wrong by orders of magnitude does not disable a server for good.
constexpr absl::Duration kMaxBackOff = absl::Minutes(5);
// Within this time the first request after a back-off period has usually been answered.
constexpr absl::Duration kProbeTime = absl::Milliseconds(250);

}  // namespace

bool BackPressure::noteRateLimit(std::optional<double> rate) {
  const bool is_changed = rate != rate_limit_;
  rate_limit_ = rate;
  if (!rate) {
    rate_exhausted_until_ = absl::InfinitePast();
  }
  return is_changed;
}

absl::Duration BackPressure::timePerRequest() const {
  return rate_limit_ ? absl::Seconds(1 / std::max(*rate_limit_, kMinRate)) : absl::ZeroDuration();
}

void BackPressure::noteRateUsedUp(absl::Duration retry_after, absl::Time now) {
  rate_exhausted_until_ = now + std::min(retry_after, kMaxRatePause);
}

bool BackPressure::noteMaxRejections(std::optional<uint32_t> max_rejections) {
  return std::exchange(max_rejections_, max_rejections) != max_rejections;
}

bool BackPressure::noteLeaving() {
  return !std::exchange(is_leaving_, true);
}

// A later response to another request may ask for a back-off that ends sooner: the latest end holds.
bool BackPressure::noteBackOff(absl::Duration back_off, absl::Time now) {
  const absl::Time until = now + std::min(back_off, kMaxBackOff);
  if (until <= std::max(now, back_off_until_)) {
    return false;
  }
  back_off_until_ = until;
  is_half_open_ = true;
  probe_until_ = absl::InfinitePast();
  return true;
}

void BackPressure::noteSent(absl::Time now) {
  if (is_half_open_) {
    probe_until_ = now + kProbeTime;
  }
}

// Responses to requests sent before the back-off period may come during it.
void BackPressure::noteResponse(absl::Time now) {
  if (is_half_open_ && !isBackingOff(now)) {
    is_half_open_ = false;
    probe_until_ = absl::InfinitePast();
  }
}

absl::Time BackPressure::availableAt() const {
  return std::max({rate_exhausted_until_, back_off_until_, probe_until_});
}

}  // namespace quincewick::forwarding
