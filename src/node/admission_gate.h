// Where a request's thread waits until admission control starts or refuses it.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <random>
#include <thread>

#include "admission/admission_controller.h"
#include "types/error.h"

namespace quincewick::node {

// Owns an AdmissionController and the thread that ticks it. Thread-safe.
class AdmissionGate {
 public:
  // `seed` feeds the jitter of retry advice.
  AdmissionGate(const admission::AdmissionConfiguration& configuration, std::function<absl::Time()> clock,
                uint64_t seed);
  // Nobody may be waiting any more.
  ~AdmissionGate();
  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;

  // Blocks until the request may start; an error is the refusal, and says that it did not run. Whoever was
  // let in must call finished() once.
  Result<void> enter(admission::RequestOffered offered);

  void firstToken(const RequestId& request);
  void finished(const RequestId& request, admission::FinishKind kind);
  void reconfigure(const admission::AdmissionConfiguration& configuration);

  size_t waiting();
  size_t inFlight();

 private:
  // What a waiting thread is told.
  struct Verdict {
    bool started = false;
    std::optional<admission::Refusal> refusal;
    bool reached() const { return started || refusal.has_value(); }
  };

  void feed(admission::AdmissionEvent event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void tickUntilStopped();

  const std::function<absl::Time()> clock_;
  absl::Mutex mutex_;
  admission::AdmissionController controller_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<RequestId, Verdict*> waiting_ ABSL_GUARDED_BY(mutex_);  // owned by the waiting threads
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  absl::Time next_tick_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
  absl::CondVar tick_changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread ticker_;
};

}  // namespace quincewick::node
