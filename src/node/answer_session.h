// One answer on its way from engines to its caller.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "engine/engine_channel.h"
#include "http/caller_backend.h"
#include "streams/answer_stream.h"

namespace quincewick::node {

// An engine chosen for one attempt.
struct AttemptTarget {
  RequestId dispatch;  // names this attempt towards the router
  BackEndId engine;
  Address address;
  Incarnation incarnation;
  WeightsVersion weights_version;
  std::string cache_salt;
  absl::Time sent;
  absl::Duration expected_first_token;
};

// Chooses engines for the attempts of one request and learns how each went. Called without locks held, by
// several threads.
class AttemptDirector {
 public:
  virtual ~AttemptDirector() = default;

  // An engine for another attempt; not one of `tried` if any other can serve. An error says why there is
  // none.
  virtual Result<AttemptTarget> chooseTarget(const std::vector<BackEndId>& tried) = 0;

  virtual void onObservation(const AttemptTarget& target, const engine::EngineObservation& observation) = 0;

  // The attempt gave its first token.
  virtual void onFirstToken(const AttemptTarget& target) = 0;

  // The attempt is over: with its end, or lost with an error, or cancelled (neither).
  virtual void onAttemptOver(const AttemptTarget& target, const std::optional<Usage>& usage,
                             const std::optional<Error>& error) = 0;

  // The whole answer is over, or its caller is gone. Called once, with what there is of the answer.
  virtual void onAnswerOver(const streams::Transcript& transcript, const std::optional<EndEvent>& end) = 0;
};

// What an answer needs from the node. All outlive the session.
struct SessionResources {
  engine::EngineChannel& engines;
  std::function<void(std::function<void()>)> run_blocking;  // runs a task on a worker thread
  std::function<absl::Time()> clock;
};

// Drives a streams::AnswerStream: feeds it what engines and the caller do, and carries out what it asks for.
// Owned jointly by the reader and by the attempts' tasks; make it with std::make_shared. Thread-safe.
class AnswerSession : public http::ResponseReader, public std::enable_shared_from_this<AnswerSession> {
 public:
  AnswerSession(const streams::AnswerOptions& options, engine::EngineRequest request_template,
                std::shared_ptr<AttemptDirector> director, SessionResources resources, absl::Time deadline);

  // Starts the first attempt.
  void open();

  // Takes up an answer whose caller had gone, for one who holds all tokens before `from_offset`.
  void resumeFrom(streams::Transcript transcript, uint64_t from_offset);

  // Waits until there is something for the caller, at most until `until`. False if there is nothing yet.
  bool waitForEvent(absl::Time until);

  // Lets a second attempt run beside the first, if no token has come.
  void allowHedge();

  // Waits for the first event. An answer that failed before any token yields its error.
  Result<void> awaitFirstEvent();

  Urgency urgency() const { return template_.urgency; }

  std::vector<StreamEvent> next(absl::Duration patience) override;
  void abandon() override;

 private:
  class AttemptSink;

  struct AttemptState {
    AttemptTarget target;
    bool over = false;           // nothing more is wanted of it
    bool over_reported = false;  // to the director
    bool paused = false;
  };

  bool onEngineEvent(AttemptNumber attempt, streams::AnswerEvent event);
  // Feeds the stream and carries out its actions; those that block are carried out on a worker thread.
  void feed(streams::AnswerEvent event);
  void carryOut(streams::AnswerAction action) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void startAttempt(streams::StartAttempt start);
  void resumeAttempt(AttemptNumber attempt, uint64_t from_offset);
  void cancelAttempt(AttemptNumber attempt) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void reportAnswerOver();
  // Tells the director once how the attempt went.
  void reportAttemptOver(AttemptNumber attempt, const std::optional<Usage>& usage,
                         const std::optional<Error>& error);
  bool hasEvents() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return !ready_.empty(); }
  engine::EngineRequest attemptRequest(AttemptNumber attempt, const AttemptTarget& target) const;

  const engine::EngineRequest template_;
  const std::shared_ptr<AttemptDirector> director_;
  const SessionResources resources_;
  const absl::Time deadline_;
  const streams::AnswerOptions options_;

  absl::Mutex mutex_;
  int64_t life_ = 0;  // tells the attempts of a resumed answer from earlier ones; set before any begins
  streams::AnswerStream stream_ ABSL_GUARDED_BY(mutex_);
  std::map<AttemptNumber, AttemptState> attempts_ ABSL_GUARDED_BY(mutex_);
  std::vector<StreamEvent> ready_ ABSL_GUARDED_BY(mutex_);  // not yet fetched by the reader
  uint64_t fetched_bytes_ ABSL_GUARDED_BY(mutex_) = 0;      // fetched, and not yet reported as drained
  bool over_reported_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace quincewick::node
