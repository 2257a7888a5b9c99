// The outcomes of one request's attempts, and what they allow: another attempt, passing on a response, or
// giving up, and whether the caller may then be told that the request did not run.
//
// Each response of a server says whether a retry is safe; this class combines them. Does no I/O.
#pragma once

#include <cstdint>

#include "forwarding/site_configuration.h"
#include "types/error.h"

namespace quincewick::forwarding {

// Outcome of an attempt that gave no response to pass on.
enum class AttemptOutcome : uint8_t {
  kNeverSent,  // no byte of the request was sent
  kDeclined,   // sent to another gateway, which sent no byte of it to a server
  kRefused,    // the server says that it did not run it
  kUnknown,    // sent, but the connection or the response failed: it may have run
  kFailed,     // the server ran it and says that it failed
};

// Whether a response with this status promises that the request has not run and never will.
bool promisesNotRun(int status);

class AttemptLedger {
 public:
  AttemptLedger() = default;
  AttemptLedger(bool is_repeatable, uint32_t max_attempts)
      : is_repeatable_(is_repeatable), max_attempts_(max_attempts) {}

  // From now on a byte of the request may reach a server.
  void noteSent() { ++sent_; }
  void noteOutcome(AttemptOutcome outcome);

  // Whether the request's own limits allow another attempt. The retry budget is checked separately.
  bool mayRetry() const;
  // The same once the current attempt has ended so.
  bool mayRetryAfter(AttemptOutcome outcome) const;
  // Attempts so far of which no byte reached a server.
  uint32_t neverSent() const { return never_sent_; }
  // Whether the next attempt is a retry as servers see it.
  bool isNextRetry() const { return sent_ > 0; }
  // Whether the request ran, over all attempts so far.
  Execution execution() const;
  // The status of the router's own final response: 503 promises that the request has not run and never will.
  int finalStatus(bool out_of_time) const;

 private:
  // Attempts that did not run are limited too, since each costs the caller time.
  static constexpr uint32_t kMaximumRefusals = 3;
  static constexpr uint32_t kMaximumNeverSent = 4;

  bool is_repeatable_ = false;
  uint32_t max_attempts_ = 1;
  uint32_t sent_ = 0;
  uint32_t never_sent_ = 0;
  uint32_t refused_ = 0;
  uint32_t unknown_ = 0;
  uint32_t failed_ = 0;
};

}  // namespace quincewick::forwarding
