#include "forwarding/lane_share.h"

#include <algorithm>
#include <cmath>

namespace quincewick::forwarding {
namespace {

constexpr double kSecondsAtStart = 1;  // of seen work, as much as the share at the start counts

}  // namespace

double LaneShare::decay(absl::Time now) const {
  return aged_ == absl::InfinitePast() ? 0 : std::exp2(-absl::FDivDuration(now - aged_, settings_.half_life));
}

void LaneShare::age(absl::Time now) {
  const double left = decay(now);
  short_seconds_ *= left;
  long_seconds_ *= left;
  aged_ = now;
}

void LaneShare::noteShort(absl::Duration held, uint32_t slots, absl::Time now) {
  age(now);
  short_seconds_ += absl::ToDoubleSeconds(held) / std::max<uint32_t>(slots, 1) / settings_.slots_in_use;
}

void LaneShare::noteLong(absl::Duration reading, absl::Time now) {
  age(now);
  long_seconds_ += absl::ToDoubleSeconds(reading) / settings_.time_reading;
}

double LaneShare::share(absl::Time now) const {
  const double left = decay(now);
  const double seen = (short_seconds_ + long_seconds_) * left;
  const double short_part = short_seconds_ * left + settings_.share_at_start * kSecondsAtStart;
  return std::clamp(short_part / (seen + kSecondsAtStart), settings_.least, settings_.most);
}

}  // namespace quincewick::forwarding
