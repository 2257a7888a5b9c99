// Guards against a process that uses a core and serves nobody because a turn of its reactor never ends.
#include "reactor/stall_guard.h"

#include <signal.h>  // NOLINT: SIGABRT
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>  // NOLINT: CLOCK_PROCESS_CPUTIME_ID
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <string>

namespace quincewick::reactor {
namespace {

constexpr absl::Duration kLimit = absl::Milliseconds(100);

absl::Duration processorTime() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return absl::DurationFromTimespec(used);
}

void useProcessor(absl::Duration time) {
  const absl::Duration end = processorTime() + time;
  while (processorTime() < end) {
  }
}

struct Ended {
  int status = 0;  // as waitpid gives it
  std::string output;
};

// Runs the body under a guard in a process of its own, which ends with status 0 where the guard doesn't end
// it.
Ended runGuarded(const std::function<void(StallGuard&)>& body) {
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  const pid_t child = fork();
  if (child == 0) {
    constexpr rlimit no_core_file = {0, 0};
    setrlimit(RLIMIT_CORE, &no_core_file);
    signal(SIGABRT, SIG_DFL);  // the test framework's handler would report the test as failed
    StallGuard guard(kLimit, pipe_ends[1]);
    const bool is_started = guard.start().has_value();
    if (is_started) {
      body(guard);
    }
    _exit(is_started ? 0 : 1);
  }
  close(pipe_ends[1]);
  Ended ended;
  std::array<char, 4096> buffer{};
  ssize_t size = 0;
  while ((size = read(pipe_ends[0], buffer.data(), buffer.size())) > 0) {
    ended.output.append(buffer.data(), static_cast<size_t>(size));
  }
  close(pipe_ends[0]);
  waitpid(child, &ended.status, 0);
  return ended;
}

TEST_CASE("a process that uses its limit of processor time in one turn ends, and says where it was") {
  const Ended ended = runGuarded([](StallGuard&) { useProcessor(kLimit * 20); });
  REQUIRE(WIFSIGNALED(ended.status));
  CHECK(WTERMSIG(ended.status) == SIGABRT);
  CHECK(ended.output.find("doesn't come back from a turn") != std::string::npos);
  CHECK(ended.output.find("reactor_test") != std::string::npos);  // a frame
}

TEST_CASE("a process that takes turns isn't ended, however much processor time it uses in all") {
  const Ended ended = runGuarded([](StallGuard& guard) {
    for (int turn = 0; turn < 20; ++turn) {
      guard.reset();
      useProcessor(kLimit / 4);
    }
  });
  CHECK(ended.status == 0);
  CHECK(ended.output.empty());
}

TEST_CASE("a process that waits for long isn't ended") {
  const Ended ended =
      runGuarded([](StallGuard&) { usleep(static_cast<useconds_t>(kLimit * 4 / absl::Microseconds(1))); });
  CHECK(ended.status == 0);
}

}  // namespace
}  // namespace quincewick::reactor
