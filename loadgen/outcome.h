// What became of one request, as its caller saw it.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "loadgen/workload_generator.h"
#include "types/error.h"
#include "types/token_event.h"

namespace quincewick::loadgen {

enum class OutcomeClass : uint8_t {
  kComplete,   // the whole answer came, or the action's result
  kRefused,    // a typed error before the first token
  kCut,        // an error event in mid-stream: the caller sees that the answer is not whole
  kFailed,     // the connection failed or broke, or an answer without a typed error
  kAbandoned,  // the caller went away after its own patience
};

// A broken promise.
enum class Violation : uint8_t {
  kIncomplete,     // an end marker before all tokens, or past them
  kOutOfOrder,     // a token's offset is not the next one
  kForeignText,    // a token's text is not that of this request's answer
  kEndMarker,      // more than one end marker, or something after it
  kSilentEnd,      // the response ended cleanly with neither end marker nor error
  kActionDoubled,  // an action ran more than once under one key
  kActionLost,     // an action was answered as done but never ran
  kFalseNotRun,    // a refusal said "not run" but it ran
};

inline constexpr std::array<Violation, 8> kAllViolations = {
    Violation::kIncomplete, Violation::kOutOfOrder,    Violation::kForeignText, Violation::kEndMarker,
    Violation::kSilentEnd,  Violation::kActionDoubled, Violation::kActionLost,  Violation::kFalseNotRun};

std::string_view outcomeClassName(OutcomeClass outcome);
std::string_view violationName(Violation violation);

struct RequestOutcome {
  Arrival arrival;  // its prompt's segments are dropped
  OutcomeClass outcome = OutcomeClass::kFailed;
  std::string error_type;  // of refusals, cuts and failures
  Execution execution = Execution::kUnknown;
  absl::Duration sent;  // since the start of the run, as all times here
  std::optional<absl::Duration> first_token;
  absl::Duration ended;
  uint64_t tokens = 0;
  Usage usage;
  uint64_t reusable_tokens = 0;  // prompt tokens whose text an earlier request of this run had already sent
  std::optional<Violation> violation;  // the first one seen
  std::string request_id;              // as the router named it
};

}  // namespace quincewick::loadgen
