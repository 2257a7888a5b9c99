#include "reactor/stall_guard.h"

#include <absl/strings/str_cat.h>
#include <execinfo.h>
#include <signal.h>  // NOLINT: sigaction
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <string_view>

namespace quincewick::reactor {
namespace {

constexpr std::string_view kMessage = "the reactor doesn't come back from a turn: ends the process. Stack:\n";
constexpr size_t kMaxFrames = 48;

// Read by the signal handler.
volatile sig_atomic_t stack_descriptor = STDERR_FILENO;

// Calls only what is safe in a signal handler.
void writeStackAndAbort(int /*signal*/) {
  std::array<void*, kMaxFrames> frames{};
  const int descriptor = stack_descriptor;
  [[maybe_unused]] const ssize_t ignored = write(descriptor, kMessage.data(), kMessage.size());
  const int count = backtrace(frames.data(), static_cast<int>(frames.size()));
  backtrace_symbols_fd(frames.data(), count, descriptor);
  abort();
}

}  // namespace

StallGuard::StallGuard(absl::Duration limit, int descriptor) : limit_(limit), descriptor_(descriptor) {}

StallGuard::~StallGuard() {
  if (is_started_) {
    arm(absl::ZeroDuration());
  }
}

Result<void> StallGuard::start() {
  // The first call loads a library, which a signal handler may not.
  std::array<void*, 1> frame{};
  backtrace(frame.data(), static_cast<int>(frame.size()));
  stack_descriptor = descriptor_;
  struct sigaction action {};
  action.sa_handler = writeStackAndAbort;
  if (sigaction(SIGPROF, &action, nullptr) != 0 || !arm(limit_)) {
    return fail(ErrorCode::kUnavailable, absl::StrCat("no timer of processor time: ", std::strerror(errno)));
  }
  is_started_ = true;
  return outcome::success();
}

void StallGuard::reset() {
  if (is_started_) {
    arm(limit_);
  }
}

// A zero duration stops the timer.
bool StallGuard::arm(absl::Duration after) const {
  itimerval timer{};
  timer.it_value = absl::ToTimeval(after);
  return setitimer(ITIMER_PROF, &timer, nullptr) == 0;
}

}  // namespace quincewick::reactor
