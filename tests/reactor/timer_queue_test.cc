#include "reactor/timer_queue.h"

#include <time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace quincewick::reactor {
namespace {

absl::Time bootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::UnixEpoch() + absl::DurationFromTimespec(now);
}

// Machines may be suspended for seconds. With a clock that stops meanwhile, a gateway resumes with leases,
// keys and lists that seem younger than they are to all others.
TEST_CASE("the steady clock counts the time for which the machine was suspended") {
  const absl::Time before = bootTime();
  const absl::Time now = steadyNow();
  CHECK(before <= now);
  CHECK(now <= bootTime());
}

// A clock that jumps as it does over a suspension, while the system's timers stop.
struct SuspendedClock {
  absl::Duration suspended = absl::ZeroDuration();
  absl::Time operator()() const { return steadyNow() + suspended; }
};

TEST_CASE("actions that came due during a suspension run with the first timer after it, in order") {
  boost::asio::io_context reactor;
  SuspendedClock clock;
  TimerQueue timers(reactor, [&clock] { return clock(); });
  std::string ran;
  const absl::Time start = clock();
  timers.schedule(start + absl::Hours(1), [&ran] { ran += "lease"; });
  timers.schedule(start + absl::Hours(2), [&ran] { ran += "later"; });
  timers.schedule(start + absl::Milliseconds(1), [&] { ran += "tick "; });
  clock.suspended = absl::Minutes(61);
  // Completions of waits that were cancelled for an earlier deadline come first.
  while (ran.empty()) {
    reactor.run_one();
  }
  CHECK(ran == "tick lease");
}

TEST_CASE("a timer that is set after a suspension waits for its full time") {
  boost::asio::io_context reactor;
  SuspendedClock clock;
  TimerQueue timers(reactor, [&clock] { return clock(); });
  clock.suspended = absl::Hours(5);
  absl::Time ran;
  const absl::Time due = clock() + absl::Milliseconds(5);
  timers.schedule(due, [&] { ran = clock(); });
  reactor.run();
  CHECK(ran >= due);
  CHECK(ran - due < absl::Hours(1));
}

// An action that is due again as soon as it has run once kept the reactor from everything else.
TEST_CASE("an action that schedules another for now or the past doesn't keep the reactor from its sockets") {
  for (const absl::Duration past : {absl::ZeroDuration(), absl::Seconds(1)}) {
    boost::asio::io_context reactor;
    const absl::Time still = steadyNow();
    TimerQueue timers(reactor, [still] { return still; });
    constexpr int too_many = 1000;
    int runs = 0;
    bool is_served = false;
    std::function<void()> again = [&] {
      if (++runs < too_many) {
        timers.schedule(still - past, again);
      }
    };
    timers.schedule(still, again);
    boost::asio::steady_timer socket(reactor, std::chrono::seconds(0));  // any other event of the reactor
    socket.async_wait([&is_served](const boost::system::error_code&) { is_served = true; });
    while (!is_served) {
      reactor.run_one();
    }
    CHECK(runs < too_many);
  }
}

TEST_CASE("an action that an earlier one of the same turn cancels doesn't run") {
  boost::asio::io_context reactor;
  const absl::Time start = steadyNow();
  TimerQueue timers(reactor);
  bool ran = false;
  TimerQueue::Key second;
  timers.schedule(start, [&] { timers.cancel(second); });
  second = timers.schedule(start, [&ran] { ran = true; });
  reactor.run();
  CHECK(!ran);
}

// A client that was left to the timers once cancelled its timeout in the map that was being destroyed.
TEST_CASE("what an action owns may cancel and schedule actions while the queue is destroyed") {
  struct Owned {
    TimerQueue& timers;
    TimerQueue::Key key;
    int& destroyed;
    ~Owned() {
      timers.cancel(key);
      timers.schedule(steadyNow(), [] {});
      ++destroyed;
    }
  };
  constexpr int owned = 50;
  boost::asio::io_context reactor;
  int destroyed = 0;
  auto timers = std::make_unique<TimerQueue>(reactor);
  const absl::Time later = steadyNow() + absl::Hours(1);
  for (int number = 0; number < owned; ++number) {
    const TimerQueue::Key key = timers->schedule(later + absl::Seconds(owned - number), [] {});
    auto object = std::make_shared<Owned>(*timers, key, destroyed);
    timers->schedule(later + absl::Seconds(number), [object] {});
  }
  timers = nullptr;
  CHECK(destroyed == owned);
}

}  // namespace
}  // namespace quincewick::reactor
