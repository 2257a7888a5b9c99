#include "simulation/event_queue.h"

#include <algorithm>
#include <utility>

namespace quincewick::simulation {

void EventQueue::scheduleAt(absl::Time time, Callback callback) {
  uint32_t slot = 0;
  if (free_slots_.empty()) {
    slot = static_cast<uint32_t>(slots_.size());
    slots_.push_back(std::move(callback));
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
    slots_[slot] = std::move(callback);
  }
  heap_.push_back({std::max(time, now_), next_sequence_++, slot});
  std::push_heap(heap_.begin(), heap_.end(), RunsLater());
}

void EventQueue::runUntil(absl::Time end) {
  while (!heap_.empty() && heap_.front().time <= end) {
    runNext();
  }
  now_ = std::max(now_, end);
}

void EventQueue::runNext() {
  const Entry entry = heap_.front();
  std::pop_heap(heap_.begin(), heap_.end(), RunsLater());
  heap_.pop_back();
  Callback callback = std::exchange(slots_[entry.slot], Callback());
  free_slots_.push_back(entry.slot);
  now_ = entry.time;
  ++executed_events_;
  callback();
}

}  // namespace quincewick::simulation
