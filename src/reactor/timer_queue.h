// Multiplexes many deadlines over one reactor timer. Most are cancelled before they are due, which costs no
// system call.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace quincewick::reactor {

// A monotonic clock with an epoch of its own. It includes the time for which the machine was suspended, so
// that a lease, a key or a list has the same age here as on other machines.
absl::Time steadyNow();

// The processor time that the calling thread has used.
absl::Duration threadProcessorTime();

class TimerQueue {
 public:
  // Identifies one deadline; a default-constructed key identifies none.
  using Key = std::pair<absl::Time, uint64_t>;

  using Clock = std::function<absl::Time()>;

  explicit TimerQueue(boost::asio::io_context& reactor, Clock clock = steadyNow)
      : timer_(reactor), clock_(std::move(clock)) {}
  // Destroys what the actions own without running them. It may still cancel and schedule actions.
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  // Calls `action` once, at `due` or soon after; if it is already due, from a later turn of the reactor. The
  // system's timers stop while the machine is suspended: actions that came due meanwhile run with the first
  // timer that expires afterwards.
  Key schedule(absl::Time due, std::function<void()> action);
  // Cancels the action if it has not run, and resets `key`.
  void cancel(Key& key);

 private:
  void arm();
  void runDue();

  boost::asio::steady_timer timer_;
  Clock clock_;
  std::map<Key, std::function<void()>> actions_;
  absl::Time armed_for_ = absl::InfiniteFuture();
  uint64_t last_number_ = 0;
};

}  // namespace quincewick::reactor
