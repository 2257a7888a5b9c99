// What this node learns from its own requests about engines that fail, and what it may spend on second tries.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_set.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <vector>

#include "admission/hedge_policy.h"
#include "admission/outlier_detector.h"
#include "admission/retry_budget.h"
#include "configuration/policy.h"
#include "types/error.h"

namespace quincewick::node {

// Thread-safe.
class BackEndHealth {
 public:
  explicit BackEndHealth(std::function<absl::Time()> clock);

  // New policy: budgets and thresholds start again, what was learnt of engines is dropped.
  void configure(const configuration::RetryPolicy& policy);

  // The engines that there are.
  void setEngines(const std::vector<BackEndId>& engines);

  // A request's first attempt is sent.
  void firstAttempt();
  // Whether a further attempt may be sent; spends of the retry budget if so.
  bool tryRetry();

  // How long to wait for a first token before a second attempt beside the first; nothing: never.
  std::optional<absl::Duration> hedgeDelay(const admission::HedgeCandidate& candidate);
  bool tryHedge(const admission::HedgeCandidate& candidate);
  void firstToken(const RequestKind& kind, absl::Duration latency);

  // An attempt was sent to the engine.
  void sent(const BackEndId& engine);
  // An attempt gave its first token after `slowdown` times the expected time.
  void succeeded(const BackEndId& engine, double slowdown);
  // An attempt was lost. Refusals for want of room or by a version check are no failures of the engine.
  void failed(const BackEndId& engine, const Error& error);

  // An engine that was taken out of use (true) or given back (false).
  struct Change {
    BackEndId engine;
    bool ejected = false;
  };
  // The changes since the last call.
  std::vector<Change> takeChanges();

 private:
  const std::function<absl::Time()> clock_;
  absl::Mutex mutex_;
  admission::OutlierDetector outliers_ ABSL_GUARDED_BY(mutex_);
  admission::RetryBudget retries_ ABSL_GUARDED_BY(mutex_);
  admission::HedgePolicy hedges_ ABSL_GUARDED_BY(mutex_);
  std::vector<BackEndId> engines_ ABSL_GUARDED_BY(mutex_);
  absl::btree_set<BackEndId> ejected_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace quincewick::node
