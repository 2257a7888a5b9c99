// What is known of one request's runs, and so what may still be done with it: send it to a further server,
// pass an answer on, or give it up, and whether the caller may then be told that it did not run.
//
// Each reply of a server says whether a repeat is safe; this keeps their sum. Pure.
#pragma once

#include <cstdint>

#include "forwarding/site_configuration.h"
#include "types/error.h"

namespace quincewick::forwarding {

// How one attempt ended that gave no answer to pass on.
enum class AttemptOutcome : uint8_t {
  kNeverSent,  // no byte of the request left
  kRefused,    // the server says that it did not run it
  kUnknown,    // sent, and the connection or the answer failed: it may have run
  kFailed,     // the server ran it and says that it failed
};

// Whether an answer's status promises that the request has not run and never will.
bool promisesNotRun(int status);

class AttemptLedger {
 public:
  AttemptLedger() = default;
  AttemptLedger(bool may_run_again, uint32_t max_attempts)
      : may_run_again_(may_run_again), max_attempts_(max_attempts) {}

  // A byte of the request may leave for a server from now on.
  void noteSent() { ++sent_; }
  void noteOutcome(AttemptOutcome end);

  // Whether a further server may be asked, as far as the request itself allows; the budget is another matter.
  bool mayRetry() const;
  // Whether the next attempt counts as a repeat for the servers.
  bool isNextRetry() const { return sent_ > 0; }
  // Of the whole request, once its attempts have ended.
  Execution execution() const;
  // The status of a final answer of our own: 503 promises that the request has not run and never will.
  int finalStatus(bool out_of_time) const;

 private:
  // Refusals and lost tries are bounded too: each costs the caller time.
  static constexpr uint32_t kMaximumRefusals = 3;
  static constexpr uint32_t kMaximumNeverSent = 4;

  bool may_run_again_ = false;
  uint32_t max_attempts_ = 1;
  uint32_t sent_ = 0;
  uint32_t never_sent_ = 0;
  uint32_t refused_ = 0;
  uint32_t unknown_ = 0;
  uint32_t failed_ = 0;
};

}  // namespace quincewick::forwarding
