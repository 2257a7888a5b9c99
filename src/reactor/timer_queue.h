// Many deadlines over one timer of the reactor: most are cancelled before they are due, which costs no call
// to the system.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace quincewick::reactor {

// The steady clock as a time of its own epoch; never goes back. It counts the time for which the machine was
// suspended, too: a lease, a key or a list is as old then as it is to the others.
absl::Time steadyNow();

class TimerQueue {
 public:
  // Names one deadline; a default one names none.
  using Key = std::pair<absl::Time, uint64_t>;

  using Clock = std::function<absl::Time()>;

  explicit TimerQueue(boost::asio::io_context& reactor, Clock clock = steadyNow)
      : timer_(reactor), clock_(std::move(clock)) {}

  // Calls `action` once, at `due` or soon after. The system's timers stand still while the machine is
  // suspended: what came due meanwhile runs with the first timer after.
  Key schedule(absl::Time due, std::function<void()> action);
  // Forgets the deadline if it has not come; `key` names none afterwards.
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
