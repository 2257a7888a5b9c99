// Lets the node's threads share one router.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <random>

#include "routing/router.h"

namespace quincewick::node {

// A routing::Router behind a lock, with the node's clock and random numbers. Thread-safe; no call blocks on
// I/O.
class RouterHost {
 public:
  RouterHost(const routing::RouterSettings& settings, std::function<absl::Time()> clock, uint64_t seed)
      : clock_(std::move(clock)), router_(settings), random_(seed) {}

  void handle(const routing::RouterEvent& event);

  Result<routing::RouteDecision> route(const InferenceRequest& request);

  // The verdict on each route, for operators.
  routing::RouteExplanation explain(const InferenceRequest& request);

  Result<routing::Placement> choose(const InferenceRequest& request, const routing::RouteDecision& decision,
                                    const routing::ChooseOptions& options);

  // A weights version of the model for a new request: one that ready engines have, at random in proportion to
  // their number, so that both sides of a rollout get their share. kUnavailable when none is ready.
  Result<WeightsVersion> chooseVersion(const ModelName& model);

  Sequence resumeCacheEventsAfter(const BackEndId& engine);

  size_t readyEngines(const ModelName& model);

 private:
  const std::function<absl::Time()> clock_;
  absl::Mutex mutex_;
  routing::Router router_ ABSL_GUARDED_BY(mutex_);
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace quincewick::node
