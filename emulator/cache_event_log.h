// The cache events of one engine: readable late, bounded, with lost ones.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

#include "emulator/engine_events.h"

namespace quincewick::emulator {

// Keeps the last events of one incarnation. Not thread-safe. Which events are lost follows from the seed and
// the event's sequence number alone.
class CacheEventLog {
 public:
  CacheEventLog(uint32_t capacity, absl::Duration delay, double loss, uint64_t seed)
      : capacity_(capacity), delay_(delay), loss_(loss), seed_(seed) {}

  // Adds an event that happened at `now`; it may be lost, but always takes a sequence number.
  void append(CacheEventKind kind, const BlockKey& block, absl::Time now);

  // Up to `limit` events after `after`, oldest first, that are readable at `now`.
  std::vector<CacheEvent> read(Sequence after, size_t limit, absl::Time now) const;

  // Events that happen before `until` are lost.
  void dropUntil(absl::Time until) { drop_until_ = until; }

  // Forgets everything and counts from 1 again: a new incarnation.
  void restart();

 private:
  struct Entry {
    absl::Time readable_at;
    CacheEvent event;
  };

  bool isLost(absl::Time now) const;

  uint32_t capacity_;
  absl::Duration delay_;
  double loss_;
  uint64_t seed_;
  absl::Time drop_until_ = absl::InfinitePast();
  Sequence last_;
  std::vector<Entry> entries_;  // a ring once full
  size_t oldest_ = 0;           // index of the oldest entry
};

}  // namespace quincewick::emulator
