#include "reactor/timer_queue.h"

#include <time.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace quincewick::reactor {
namespace {

absl::Time bootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::UnixEpoch() + absl::DurationFromTimespec(now);
}

// Users' machines may be suspended for seconds. The clock that ages went by stood still meanwhile, so a
// gateway woke with leases, keys and lists as young as before: to all others they were older by that time.
TEST_CASE("the steady clock counts the time for which the machine was suspended") {
  const absl::Time before = bootTime();
  const absl::Time now = steadyNow();
  CHECK(before <= now);
  CHECK(now <= bootTime());
}

// A clock that jumps as the machine's does over a suspension, while the system's timers stand still.
struct SuspendedClock {
  absl::Duration suspended = absl::ZeroDuration();
  absl::Time operator()() const { return steadyNow() + suspended; }
};

TEST_CASE("what came due during a suspension runs with the first timer after it, in order") {
  boost::asio::io_context reactor;
  SuspendedClock clock;
  TimerQueue timers(reactor, [&clock] { return clock(); });
  std::string ran;
  const absl::Time start = clock();
  timers.schedule(start + absl::Hours(1), [&ran] { ran += "lease"; });
  timers.schedule(start + absl::Hours(2), [&ran] { ran += "later"; });
  timers.schedule(start + absl::Milliseconds(1), [&] { ran += "tick "; });
  clock.suspended = absl::Minutes(61);
  // Waits that were taken back for an earlier deadline come first.
  while (ran.empty()) {
    reactor.run_one();
  }
  CHECK(ran == "tick lease");
}

TEST_CASE("a timer that is set after a suspension waits for as long as it says") {
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

}  // namespace
}  // namespace quincewick::reactor
