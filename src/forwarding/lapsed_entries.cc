#include "forwarding/lapsed_entries.h"

namespace quincewick::forwarding {
namespace {

// Without a reading for so long, entries may have lapsed: they go after three heartbeats of over a second,
// and readings come every second or so.
constexpr absl::Duration kOutageThreshold = absl::Milliseconds(2200);
// The platform promises that entries are back two seconds after its return; the rest is for the way here.
constexpr absl::Duration kReappearanceTime = absl::Milliseconds(2500);

}  // namespace

bool LapsedEntries::isOutage(absl::Time now) const {
  return is_away_ && last_reading_ != absl::InfiniteFuture() && now - last_reading_ > kOutageThreshold;
}

void LapsedEntries::noteReading(absl::Time now) {
  if (isOutage(now)) {
    awaited_until_ = now + kReappearanceTime;
  }
  last_reading_ = now;
  is_away_ = false;
}

std::vector<std::string> LapsedEntries::takeLapsed(absl::Time now) {
  if (mayReappear(now)) {
    return {};
  }
  std::vector<std::string> gone(awaited_.begin(), awaited_.end());
  awaited_.clear();
  return gone;
}

}  // namespace quincewick::forwarding
