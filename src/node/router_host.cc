#include "node/router_host.h"

#include <absl/random/uniform_int_distribution.h>

namespace quincewick::node {
namespace {

constexpr absl::Duration kRetryAfterNoEngine = absl::Seconds(1);

size_t engineCount(const std::vector<std::pair<WeightsVersion, size_t>>& versions) {
  size_t count = 0;
  for (const auto& [version, engines] : versions) {
    count += engines;
  }
  return count;
}

}  // namespace

void RouterHost::handle(const routing::RouterEvent& event) {
  absl::MutexLock lock(&mutex_);
  // The actions ask to read cache events again; the monitor's next regular read does so from where the router
  // says.
  router_.handle(event, clock_());
}

Result<routing::RouteDecision> RouterHost::route(const InferenceRequest& request) {
  absl::MutexLock lock(&mutex_);
  return router_.route(request);
}

routing::RouteExplanation RouterHost::explain(const InferenceRequest& request) {
  absl::MutexLock lock(&mutex_);
  return router_.explain(request);
}

Result<routing::Placement> RouterHost::choose(const InferenceRequest& request,
                                              const routing::RouteDecision& decision,
                                              const routing::ChooseOptions& options) {
  absl::MutexLock lock(&mutex_);
  return router_.choose(request, decision, options, clock_(), random_);
}

Result<WeightsVersion> RouterHost::chooseVersion(const ModelName& model) {
  absl::MutexLock lock(&mutex_);
  const auto versions = router_.readyVersions(model);
  const size_t engines = engineCount(versions);
  if (engines == 0) {
    Error error{ErrorCode::kUnavailable, "no engine is ready for the model", Execution::kNotRun};
    error.retry_after = kRetryAfterNoEngine;
    return outcome::failure(error);
  }
  size_t pick = absl::uniform_int_distribution<size_t>(0, engines - 1)(random_);
  for (const auto& [version, count] : versions) {
    if (pick < count) {
      return version;
    }
    pick -= count;
  }
  return versions.front().first;
}

Sequence RouterHost::resumeCacheEventsAfter(const BackEndId& engine) {
  absl::MutexLock lock(&mutex_);
  return router_.resumeCacheEventsAfter(engine);
}

size_t RouterHost::readyEngines(const ModelName& model) {
  absl::MutexLock lock(&mutex_);
  return engineCount(router_.readyVersions(model));
}

}  // namespace quincewick::node
