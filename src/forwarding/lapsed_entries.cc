#include "forwarding/lapsed_entries.h"

namespace quincewick::forwarding {
namespace {

// After this time without a read, entries may have lapsed: they expire after three missed heartbeats of over
// a second each, and the list is read about every second.
constexpr absl::Duration kOutageThreshold = absl::Milliseconds(2200);
// The platform guarantees that entries are back 2 s after its recovery; the rest covers their propagation.
constexpr absl::Duration kReappearanceTime = absl::Milliseconds(2500);

}  // namespace

bool LapsedEntries::isOutage(absl::Time now) const {
  return outage_noted_ && last_read_ != absl::InfiniteFuture() && now - last_read_ > kOutageThreshold;
}

void LapsedEntries::noteListRead(absl::Time now) {
  if (isOutage(now)) {
    awaited_until_ = now + kReappearanceTime;
  }
  last_read_ = now;
  outage_noted_ = false;
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
