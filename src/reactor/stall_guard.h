// Ends a process whose reactor never comes back from a turn, so that it is started again: it would answer
// nobody, not even a readiness check. Counts processor time, so that a stopped or starved process isn't
// ended.
#pragma once

#include <absl/time/time.h>

#include "types/error.h"

namespace quincewick::reactor {

// One for each process: it uses the process's timer of processor time (ITIMER_PROF) and SIGPROF.
class StallGuard {
 public:
  // `limit`: processor time without a call of `reset`, after which the process is aborted. Writes the stack
  // to `descriptor` before: resolve its addresses with addr2line.
  StallGuard(absl::Duration limit, int descriptor);
  ~StallGuard();
  StallGuard(const StallGuard&) = delete;
  StallGuard& operator=(const StallGuard&) = delete;

  // Errors: kUnavailable where the system has no such timer.
  Result<void> start();
  // Called from the reactor again and again: it still takes turns.
  void reset();

 private:
  bool arm(absl::Duration after) const;

  absl::Duration limit_;
  int descriptor_;
  bool is_started_ = false;
};

}  // namespace quincewick::reactor
