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

}  // namespace
}  // namespace quincewick::reactor
