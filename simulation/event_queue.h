// The virtual clock and the queue of events that drive a simulation.
//
// Events run in order of time; events of equal time run in the order in which they were scheduled, so that a
// run depends on nothing but its inputs. Not thread-safe: one simulation runs on one thread.
#pragma once

#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace quincewick::simulation {

class EventQueue {
 public:
  using Callback = absl::AnyInvocable<void()>;

  explicit EventQueue(absl::Time start) : now_(start) {}

  // The virtual time: that of the event that runs, or of the last one.
  absl::Time now() const { return now_; }

  // Runs `callback` at `time`, or now if that is past.
  void scheduleAt(absl::Time time, Callback callback);

  // Runs `callback` after `delay`.
  void scheduleAfter(absl::Duration delay, Callback callback) {
    scheduleAt(now_ + delay, std::move(callback));
  }

  // Runs all events up to and including `end`, then sets the clock to `end`.
  void runUntil(absl::Time end);

  uint64_t executedEvents() const { return executed_events_; }
  bool empty() const { return heap_.empty(); }

 private:
  // Kept small, so that moves within the heap are cheap; the callback waits in its slot.
  struct Entry {
    absl::Time time;
    uint64_t sequence = 0;
    uint32_t slot = 0;
  };
  struct RunsLater {
    bool operator()(const Entry& left, const Entry& right) const {
      return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
    }
  };

  void runNext();

  absl::Time now_;
  uint64_t next_sequence_ = 0;
  uint64_t executed_events_ = 0;
  std::vector<Entry> heap_;
  std::vector<Callback> slots_;
  std::vector<uint32_t> free_slots_;
};

}  // namespace quincewick::simulation
