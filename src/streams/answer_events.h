// Input events and output actions of an AnswerStream.
#pragma once

#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <string>
#include <variant>

#include "types/error.h"
#include "types/token_event.h"

namespace quincewick::streams {

// The request was admitted; starts the first attempt.
struct RequestOpened {};

// The first token is overdue and the hedging budget allows a second, parallel attempt.
struct HedgeAllowed {};

// The engine accepted the attempt or its resumption, and can resume it if the connection breaks.
struct EngineStarted {
  AttemptNumber attempt;
};

struct EngineToken {
  AttemptNumber attempt;
  uint64_t offset = 0;
  std::string text;
};

// The engine finished. `token_count` covers the complete answer, including tokens before this attempt.
struct EngineEnd {
  AttemptNumber attempt;
  uint64_t token_count = 0;
  FinishReason reason = FinishReason::kStop;
  Usage usage;
};

// The connection to the engine was lost or not established. `error.code` decides what follows:
// kInvalidArgument ends the stream, kNotFound (the engine no longer knows the attempt) forbids resuming; all
// else may be retried.
struct EngineLost {
  AttemptNumber attempt;
  Error error;
};

// The caller closed the connection.
struct CallerGone {};

// `bytes` of the token text from DeliverToken were sent to the caller.
struct CallerDrained {
  uint64_t bytes = 0;
};

// The caller reconnected and has all tokens before `from_offset`.
struct CallerResumed {
  uint64_t from_offset = 0;
};

// The deadline of the complete answer passed.
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

// Ask the attempt's own engine for its tokens from `from_offset` on; its old connection is to be dropped.
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
