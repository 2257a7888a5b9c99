// Runs one action at the earliest time that was asked for.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <utility>

#include "reactor/timer_queue.h"

namespace quincewick::reactor {

class WakeupTimer {
 public:
  WakeupTimer(TimerQueue& timers, std::function<void()> action)
      : timers_(timers), action_(std::move(action)) {}
  ~WakeupTimer() { timers_.cancel(key_); }
  WakeupTimer(const WakeupTimer&) = delete;
  WakeupTimer& operator=(const WakeupTimer&) = delete;

  // Runs the action at `at`, or earlier if that was asked for. After it has run, nothing is scheduled.
  void wakeAt(absl::Time at) {
    if (at >= at_) {
      return;
    }
    timers_.cancel(key_);
    at_ = at;
    key_ = timers_.schedule(at, [this] {
      at_ = absl::InfiniteFuture();
      action_();
    });
  }

 private:
  TimerQueue& timers_;
  std::function<void()> action_;
  TimerQueue::Key key_;
  absl::Time at_ = absl::InfiniteFuture();
};

}  // namespace quincewick::reactor
