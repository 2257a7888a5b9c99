// Chooses the engines for one request's attempts and tells the router, admission and metrics how they went.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <string>
#include <vector>

#include "node/admission_gate.h"
#include "node/answer_session.h"
#include "node/back_end_health.h"
#include "node/node_metrics.h"
#include "node/router_host.h"

namespace quincewick::node {

// What a director uses of the node. All outlive it.
struct DirectorResources {
  RouterHost& router;
  AdmissionGate& gate;
  BackEndHealth& health;
  NodeMetrics& metrics;
  std::function<absl::Time()> clock;
  // Takes what there is of the answer when its caller's connection ends.
  std::function<void(const streams::Transcript&, const std::optional<EndEvent>&)> keep_answer;
};

// A request that admission has started. Thread-safe.
class RequestDirector : public AttemptDirector {
 public:
  RequestDirector(InferenceRequest request, routing::RouteDecision decision, std::string cache_salt,
                  DirectorResources resources);

  Result<AttemptTarget> chooseTarget(const std::vector<BackEndId>& tried) override;
  void onObservation(const AttemptTarget& target, const engine::EngineObservation& observation) override;
  void onFirstToken(const AttemptTarget& target) override;
  void onAttemptOver(const AttemptTarget& target, const std::optional<Usage>& usage,
                     const std::optional<Error>& error) override;
  void onAnswerOver(const streams::Transcript& transcript, const std::optional<EndEvent>& end) override;

 private:
  // Fails when a further attempt may not be sent.
  Result<void> permitAttempt(bool is_first);
  Result<routing::Placement> place(const std::vector<BackEndId>& tried);

  const InferenceRequest request_;
  const routing::RouteDecision decision_;
  const std::string cache_salt_;
  const DirectorResources resources_;

  absl::Mutex mutex_;
  uint32_t dispatches_ ABSL_GUARDED_BY(mutex_) = 0;
  bool first_token_seen_ ABSL_GUARDED_BY(mutex_) = false;
  admission::FinishKind finish_kind_ ABSL_GUARDED_BY(mutex_) = admission::FinishKind::kFailed;
};

}  // namespace quincewick::node
