// The events of one answer stream.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick {

// One try of a request at one engine. Events of another try are dropped.
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;

// Why a finished stream ended.
enum class FinishReason : uint8_t { kStop, kLength };

// What an answer cost, as the engine reports it.
struct Usage {
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;  // prompt tokens that were found in the engine's cache
  uint64_t completion_tokens = 0;
};

// One token of the answer at its place; offsets count from 0 without gaps.
struct TokenEvent {
  uint64_t offset = 0;
  std::string text;
};

// The end marker: `token_count` tokens came before it.
struct EndEvent {
  uint64_t token_count = 0;
  FinishReason reason = FinishReason::kStop;
  Usage usage;
};

// The stream is cut here and will not go on; the caller must see this.
struct CutEvent {
  Error error;
};

using StreamEvent = std::variant<TokenEvent, EndEvent, CutEvent>;

}  // namespace quincewick
