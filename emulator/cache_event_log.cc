#include "emulator/cache_event_log.h"

#include "emulator/mix.h"

namespace quincewick::emulator {

bool CacheEventLog::isLost(absl::Time now) const {
  return now < drop_until_ || (loss_ > 0 && mixToUnit(seed_, last_.value()) < loss_);
}

void CacheEventLog::append(CacheEventKind kind, const BlockKey& block, absl::Time now) {
  last_ = last_.next();
  if (capacity_ == 0 || isLost(now)) {
    return;
  }
  const Entry entry{now + delay_, CacheEvent{last_, kind, block}};
  if (entries_.size() < capacity_) {
    entries_.push_back(entry);
    return;
  }
  entries_[oldest_] = entry;
  oldest_ = (oldest_ + 1) % entries_.size();
}

std::vector<CacheEvent> CacheEventLog::read(Sequence after, size_t limit, absl::Time now) const {
  std::vector<CacheEvent> events;
  // Entries are in sequence order from oldest_ on, so the first wanted one is found by halving.
  size_t low = 0;
  size_t high = entries_.size();
  while (low < high) {
    const size_t middle = (low + high) / 2;
    if (entries_[(oldest_ + middle) % entries_.size()].event.sequence <= after) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  for (size_t index = low; index < entries_.size() && events.size() < limit; ++index) {
    const Entry& entry = entries_[(oldest_ + index) % entries_.size()];
    if (entry.readable_at > now) {
      break;
    }
    events.push_back(entry.event);
  }
  return events;
}

void CacheEventLog::restart() {
  last_ = Sequence();
  entries_.clear();
  oldest_ = 0;
}

}  // namespace quincewick::emulator
