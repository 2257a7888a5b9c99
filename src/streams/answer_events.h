// What an answer stream is told, and what it asks for.
#pragma once

#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <string>
#include <variant>

#include "types/error.h"
#include "types/token_event.h"

namespace quincewick::streams {

// The request was admitted: begin.
struct RequestOpened {};

// No token has come for long and the hedging budget allows a second try beside the first.
struct HedgeAllowed {};

// The engine has taken the attempt, or has taken its resumption, and can resume it if the connection breaks.
struct EngineStarted {
  AttemptNumber attempt;
};

struct EngineToken {
  AttemptNumber attempt;
  uint64_t offset = 0;
  std::string text;
};

// The engine says that the whole answer has `token_count` tokens, those before this attempt included.
struct EngineEnd {
  AttemptNumber attempt;
  uint64_t token_count = 0;
  FinishReason reason = FinishReason::kStop;
  Usage usage;
};

// The connection to the engine is gone or never came. `error.code` decides what follows: kInvalidArgument
// ends the stream, kNotFound (the engine no longer knows the attempt) forbids resuming; all else may be tried
// again.
struct EngineLost {
  AttemptNumber attempt;
  Error error;
};

// The caller closed the connection.
struct CallerGone {};

// `bytes` of token text that DeliverToken handed over have left for the caller.
struct CallerDrained {
  uint64_t bytes = 0;
};

// The caller came back and holds all tokens before `from_offset`.
struct CallerResumed {
  uint64_t from_offset = 0;
};

// The time for the whole answer is over.
struct DeadlinePassed {};

using AnswerEvent = std::variant<RequestOpened, HedgeAllowed, EngineStarted, EngineToken, EngineEnd,
                                 EngineLost, CallerGone, CallerDrained, CallerResumed, DeadlinePassed>;

// Send the token to the caller. Every byte must be reported back by CallerDrained.
struct DeliverToken {
  uint64_t offset = 0;
  std::string text;
};

// Send the end marker and close. Nothing follows.
struct DeliverEnd {
  EndEvent end;
};

// Send an error event and close. Nothing follows.
struct DeliverCut {
  Error error;
};

// Ask the attempt's own engine for its tokens from `from_offset` on; its old connection is of no use.
struct ResumeAtEngine {
  AttemptNumber attempt;
  uint64_t from_offset = 0;
};

// Begin an attempt at an engine that no live or lost attempt of this answer used, if there is one. The engine
// continues the prompt after `generated_prefix`, which holds the tokens before `from_offset`.
struct StartAttempt {
  AttemptNumber attempt;
  std::string generated_prefix;
  uint64_t from_offset = 0;
};

// Stop the attempt at its engine and drop its connection.
struct CancelAtEngine {
  AttemptNumber attempt;
};

// Stop reading from the engine: the caller is slow.
struct PauseReading {
  AttemptNumber attempt;
};

struct ResumeReading {
  AttemptNumber attempt;
};

using AnswerAction = std::variant<DeliverToken, DeliverEnd, DeliverCut, ResumeAtEngine, StartAttempt,
                                  CancelAtEngine, PauseReading, ResumeReading>;
// In the order in which they must be carried out.
using AnswerActions = absl::InlinedVector<AnswerAction, 2>;

}  // namespace quincewick::streams
