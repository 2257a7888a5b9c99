#include "reactor/timer_queue.h"

#include <time.h>  // NOLINT: CLOCK_BOOTTIME

#include <chrono>

namespace quincewick::reactor {

absl::Time steadyNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::UnixEpoch() + absl::DurationFromTimespec(now);
}

absl::Duration threadProcessorTime() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return absl::DurationFromTimespec(used);
}

TimerQueue::~TimerQueue() {
  // Destroyed apart from the member, which the owned objects' destructors use.
  while (!actions_.empty()) {
    const std::map<Key, std::function<void()>> abandoned = std::exchange(actions_, {});
  }
}

TimerQueue::Key TimerQueue::schedule(absl::Time due, std::function<void()> action) {
  const Key key{due, ++last_number_};
  actions_.emplace(key, std::move(action));
  arm();
  return key;
}

void TimerQueue::cancel(Key& key) {
  actions_.erase(key);
  key = Key();
}

// A timer armed for an earlier time is kept; when it expires, it arms the next one.
void TimerQueue::arm() {
  if (actions_.empty() || actions_.begin()->first.first >= armed_for_) {
    return;
  }
  armed_for_ = actions_.begin()->first.first;
  timer_.expires_after(absl::ToChronoNanoseconds(armed_for_ - clock_()));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      armed_for_ = absl::InfiniteFuture();
      runDue();
    }
  });
}

// Actions that are scheduled meanwhile wait for the next turn, so that each turn ends.
void TimerQueue::runDue() {
  const absl::Time now = clock_();
  const uint64_t last_number = last_number_;
  auto next = actions_.begin();
  while (next != actions_.end() && next->first.first <= now) {
    const Key key = next->first;
    if (key.second > last_number) {
      ++next;
      continue;
    }
    const std::function<void()> action = std::move(next->second);
    actions_.erase(next);
    action();
    next = actions_.upper_bound(key);
  }
  arm();
}

}  // namespace quincewick::reactor
