// Recent answers that callers may come back for.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

#include "http/caller_backend.h"
#include "streams/stream_store.h"

namespace quincewick::node {

// A streams::StreamStore behind a lock. Thread-safe.
class KeptAnswers {
 public:
  KeptAnswers(const streams::StreamStoreOptions& options, std::function<absl::Time()> clock)
      : clock_(std::move(clock)), store_(options) {}

  // Keeps an answer whose caller's connection has ended, whole or not.
  void keep(const http::CompletionCall& call, const streams::Transcript& transcript,
            const std::optional<EndEvent>& end);

  // Takes an answer out. kNotFound if it isn't held, or is another tenant's.
  Result<streams::RecentAnswer> take(const RequestId& request, const TenantId& tenant);

 private:
  const std::function<absl::Time()> clock_;
  absl::Mutex mutex_;
  streams::StreamStore store_ ABSL_GUARDED_BY(mutex_);
};

// What is needed to continue a completion at an engine, as bytes.
std::string encodeCall(const http::CompletionCall& call);
Result<http::CompletionCall> decodeCall(const std::string& bytes);

// Gives the events of an answer that is complete.
class FinishedAnswerReader : public http::ResponseReader {
 public:
  FinishedAnswerReader(const streams::Transcript& transcript, const EndEvent& end, uint64_t from_offset);

  std::vector<StreamEvent> next(absl::Duration patience) override;
  void abandon() override {}

 private:
  std::vector<StreamEvent> events_;
};

}  // namespace quincewick::node
