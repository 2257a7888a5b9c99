#include "cli/interrupt.h"

#include <absl/time/clock.h>

#include <csignal>

namespace quincewick::cli {
namespace {

constexpr absl::Duration kPollInterval = absl::Milliseconds(50);

volatile std::sig_atomic_t interrupted = 0;

void onSignal(int /*signal*/) {
  interrupted = 1;
}

}  // namespace

void catchInterrupts() {
  std::signal(SIGINT, onSignal);
  std::signal(SIGTERM, onSignal);
}

void waitForInterrupt(absl::Duration limit) {
  const absl::Time end = absl::Now() + limit;
  while (interrupted == 0 && absl::Now() < end) {
    absl::SleepFor(kPollInterval);
  }
}

}  // namespace quincewick::cli
