// An EngineModel on real time, with the streams that callers read from it.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "emulator/engine_model.h"
#include "emulator/weight_store.h"
#include "types/token_event.h"

namespace quincewick::emulator {

// A completion as a caller asks for it.
struct CompletionCall {
  RequestId request_id;
  ModelName model;
  AdapterName adapter;
  std::string prompt;
  std::string generated_prefix;  // the text of the tokens before resume_from
  uint64_t resume_from = 0;      // offset of the first token to generate
  uint32_t maximum_tokens = 0;   // of the whole answer, those before resume_from included
  uint8_t priority = 1;
  std::string cache_salt;
  std::optional<WeightsVersion> wanted_weights;
  std::optional<Incarnation> wanted_incarnation;
};

enum class CompletionState : uint8_t { kRunning, kFinished, kCancelled, kLost };

// One completion that the engine was given. Constant after its making except through EngineHost.
struct Completion {
  RequestId request_id;
  EngineRequestId id;
  uint64_t answer_seed = 0;
  uint64_t first_offset = 0;
  uint64_t end_offset = 0;  // one beyond the last token
  FinishReason finish_reason = FinishReason::kStop;
  uint64_t prompt_tokens = 0;
  WeightsVersion weights_version;
  Incarnation incarnation;
};

// How much of a completion can be read.
struct CompletionView {
  uint64_t until = 0;  // one beyond the last token that exists
  CompletionState state = CompletionState::kRunning;
  uint64_t cached_tokens = 0;
};

// Thread-safe. Tokens exist when the model says so; readers wait for them here. A completion that nobody
// reads for a while is cancelled, and an ended one is forgotten.
class EngineHost {
 public:
  struct Settings {
    std::shared_ptr<const EngineSettings> engine;
    std::vector<LoadedModel> models;
    Incarnation incarnation;
    uint64_t seed = 1;
    std::shared_ptr<WeightStore> weights;
    absl::Duration ended_retention = absl::Seconds(30);  // an ended completion can still be read
    absl::Duration unread_timeout = absl::Seconds(5);    // a running one without a reader is cancelled
  };
  using CompletionPointer = std::shared_ptr<const Completion>;

  // `on_change` is called when the time of the next tick may have moved; it must not call back.
  EngineHost(Settings settings, std::function<void()> on_change);

  // Takes the completion, or says why not. The caller is its first reader.
  std::variant<CompletionPointer, RefusalReason> submit(const CompletionCall& call);
  // Finds a completion to go on reading, and counts the caller as a reader.
  CompletionPointer attach(const RequestId& request);
  // Ends the reading that submit or attach began.
  void detach(const Completion& completion);
  // False if there is no such completion.
  bool cancel(const RequestId& request);

  // Waits until a token beyond `offset` exists, the completion has ended, or the deadline.
  CompletionView waitBeyond(const Completion& completion, uint64_t offset, absl::Time deadline);

  // Runs what is due; returns when the next tick is.
  absl::Time tick(absl::Time now);

  OrderOutcome order(const EngineOrder& order);
  // When the blocks can be used, or nothing if the import was refused.
  std::optional<absl::Time> import(ImportBlocks blocks);
  void crash();
  void restart(bool keep_cache);
  void setPace(double slowdown);
  void dropCacheEventsUntil(absl::Time until);

  // Calls `read` with the model under the lock.
  template <class Reader>
  auto read(Reader reader) {
    const absl::MutexLock lock(&mutex_);
    return reader(model_);
  }

 private:
  struct Record {
    std::shared_ptr<const Completion> completion;
    CompletionState state = CompletionState::kRunning;
    uint64_t cached_tokens = 0;
    uint32_t readers = 1;
    absl::Time since;  // of its end, or of its last reader's leaving
    absl::CondVar changed;
  };
  struct PendingLoad {
    uint64_t load = 0;
    WeightsLoaded event;
  };

  std::vector<EngineAction> apply(EngineEvent event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void follow(const EngineAction& action, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void end(EngineRequestId id, CompletionState state, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void finishLoads(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void dropOldRecords(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  CompletionView viewOf(const Record& record, absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  EngineRequest modelRequest(const CompletionCall& call, const Completion& completion) const;

  const Settings settings_;
  const std::function<void()> on_change_;
  absl::Mutex mutex_;
  EngineModel model_ ABSL_GUARDED_BY(mutex_);
  CompletionState aborted_state_ ABSL_GUARDED_BY(mutex_) = CompletionState::kCancelled;
  absl::btree_map<RequestId, std::shared_ptr<Record>> records_ ABSL_GUARDED_BY(mutex_);
  absl::btree_map<EngineRequestId, RequestId> names_ ABSL_GUARDED_BY(mutex_);
  uint64_t last_id_ ABSL_GUARDED_BY(mutex_) = 0;
  std::vector<PendingLoad> loads_ ABSL_GUARDED_BY(mutex_);
};

// The number under which the model knows a cache salt together with the model and the adapter.
uint64_t saltFingerprint(const std::string& cache_salt, const ModelName& model, const AdapterName& adapter);

}  // namespace quincewick::emulator
