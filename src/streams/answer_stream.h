// State machine that delivers one answer to its caller complete, in order and with one end, also when engines
// fail.
#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>
#include <optional>

#include "streams/answer_events.h"
#include "streams/transcript.h"

namespace quincewick::streams {

// Limits of one answer.
struct AnswerOptions {
  uint32_t maximum_attempts = 4;     // per connection of the caller, including the first attempt
  uint32_t maximum_resumes = 3;      // resumptions of one attempt at its own engine
  uint32_t maximum_reconnects = 16;  // times a caller may reconnect
  uint64_t unsent_limit_bytes =
      64 * uint64_t{1024};  // handed over to the caller's connection and not yet drained
  uint64_t backlog_limit_bytes =
      256 * uint64_t{1024};  // not yet sent, including undelivered tokens; above it the engine isn't read
  uint64_t answer_limit_bytes = 8 * uint64_t{1024} * 1024;  // a longer answer is cut
};

// One answer. A token passes only when its attempt is the live one and its offset is the next one, so
// duplicates, late and crossed events are dropped and a gap is fetched again instead of passed on. Before the
// first token several attempts may run; the first token decides and the others are cancelled. An attempt that
// is lost is resumed at its engine, then continued at another from what was generated; when the limits are
// used up the caller gets an error event, never a silent end.
//
// When the caller disconnects, the engine's work is cancelled at once and the tokens are kept. A caller that
// reconnects gets the missing ones, and a new attempt continues after them.
//
// Pure state machine, not thread-safe: feed each event once in the order of arrival and carry out the
// actions.
class AnswerStream {
 public:
  explicit AnswerStream(const AnswerOptions& options) : options_(options) {}
  // Restores an answer whose caller had disconnected, with its tokens so far. Feed CallerResumed next.
  AnswerStream(const AnswerOptions& options, Transcript transcript);

  AnswerActions handle(AnswerEvent event);

  // True once the end marker or the error event was handed over.
  bool finished() const { return phase_ == Phase::kFinished; }
  // True while the caller is disconnected and no attempt runs.
  bool abandoned() const { return phase_ == Phase::kAbandoned; }
  // True once a token was delivered, so that an error can no longer be sent as an HTTP status.
  bool tokenDelivered() const { return delivered_count_ > 0; }
  const Transcript& transcript() const { return transcript_; }
  // The end marker, once the engine sent it and all tokens before it are held.
  const std::optional<EndEvent>& end() const { return end_; }

 private:
  enum class Phase { kIdle, kRunning, kAbandoned, kFinished };

  struct Attempt {
    bool started = false;   // the engine accepted it and can resume it
    bool resuming = false;  // a resumption was requested and has not started
    uint32_t resumes = 0;
  };

  void on(const RequestOpened& event);
  void on(const HedgeAllowed& event);
  void on(const EngineStarted& event);
  void on(EngineToken& event);
  void on(const EngineEnd& event);
  void on(const EngineLost& event);
  void on(const CallerGone& event);
  void on(const CallerDrained& event);
  void on(const CallerResumed& event);
  void on(const DeadlinePassed& event);

  Attempt* liveAttempt(AttemptNumber number);
  // Records that the engine accepted the attempt.
  void markStarted(Attempt& attempt);
  void startAttempt();
  // Resumes the failed attempt at its engine if `may_resume`, else starts one at another engine, else cuts
  // the answer.
  void recover(AttemptNumber number, bool may_resume, const Error& error);
  void cancelAttemptsExcept(std::optional<AttemptNumber> kept);
  void deliverPending();
  void regulateReading();
  void cut(Error error);
  // Bytes of the answer not yet sent to the caller.
  uint64_t backlogBytes() const { return unsent_bytes_ + transcript_.bytesFrom(delivered_count_); }

  AnswerOptions options_;
  Phase phase_ = Phase::kIdle;
  Transcript transcript_;
  std::optional<EndEvent> end_;
  absl::btree_map<AttemptNumber, Attempt> live_;  // at most one once a token came
  AttemptNumber last_attempt_;
  uint32_t attempts_ = 0;  // since the caller last connected
  uint32_t reconnects_ = 0;
  uint64_t delivered_count_ = 0;  // tokens handed over to the caller's connection
  uint64_t unsent_bytes_ = 0;
  bool paused_ = false;
  Execution execution_ = Execution::kNotRun;
  AnswerActions actions_;  // produced by the current event
};

}  // namespace quincewick::streams
