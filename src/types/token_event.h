// The events of one response stream.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick {

// One attempt of a request at one engine. Events of other attempts are dropped.
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;

// Why a finished stream ended.
enum class FinishReason : uint8_t { kStop, kLength };

// Token usage of a response, as reported by the engine.
struct Usage {
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;  // prompt tokens that were in the engine's cache
  uint64_t completion_tokens = 0;
};

// One token of the response; offsets count from 0 without gaps.
struct TokenEvent {
  uint64_t offset = 0;
  std::string text;
};

// The end marker, after `token_count` tokens.
struct EndEvent {
  uint64_t token_count = 0;
  FinishReason reason = FinishReason::kStop;
  Usage usage;
};

// The stream ends here without having finished; the caller must be told.
struct CutEvent {
  Error error;
};

using StreamEvent = std::variant<TokenEvent, EndEvent, CutEvent>;

}  // namespace quincewick
