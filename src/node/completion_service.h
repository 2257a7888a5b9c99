// Serves completions: policy, admission, routing and the answer's stream put together.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

#include "engine/engine_channel.h"
#include "http/caller_backend.h"
#include "node/admission_gate.h"
#include "node/answer_session.h"
#include "node/back_end_health.h"
#include "node/kept_answers.h"
#include "node/node_metrics.h"
#include "node/policy_holder.h"
#include "node/router_host.h"
#include "node/worker_pool.h"
#include "prefix/block_chain.h"

namespace quincewick::node {

struct CompletionServiceOptions {
  prefix::SaltSecret salt_secret;
  absl::Duration longest_answer = absl::Minutes(10);
};

// What the service uses of the node. All outlive it.
struct CompletionResources {
  const PolicyHolder& policies;
  RouterHost& router;
  AdmissionGate& gate;
  engine::EngineChannel& engines;
  WorkerPool& workers;
  BackEndHealth& health;
  KeptAnswers& kept_answers;
  NodeMetrics& metrics;
  std::function<absl::Time()> clock;
};

// Thread-safe.
class CompletionService {
 public:
  CompletionService(CompletionServiceOptions options, CompletionResources resources)
      : options_(std::move(options)), resources_(std::move(resources)) {}

  // Blocks until the answer's first event. An error is the final answer to the request.
  Result<std::shared_ptr<http::ResponseReader>> complete(const http::CompletionCall& call);

  // The rest of a kept answer, after the tokens before `from_offset`: what is held of it, then the engines'.
  Result<std::shared_ptr<http::ResponseReader>> resume(streams::RecentAnswer answer, uint64_t from_offset);

  // The request as decisions see it, for operators.
  Result<InferenceRequest> describe(const http::CompletionCall& call);

 private:
  // A request as decisions see it, and the salt that its prefix chain hangs from.
  struct PreparedRequest {
    InferenceRequest request;
    std::string cache_salt;
  };

  Result<PreparedRequest> prepare(const http::CompletionCall& call);
  Result<PreparedRequest> makeRequest(const PolicyInForce& policy, const http::CompletionCall& call) const;
  // Admits the call and makes its session, not yet opened.
  Result<std::shared_ptr<AnswerSession>> begin(const http::CompletionCall& call);
  std::shared_ptr<AnswerSession> makeSession(const http::CompletionCall& call, PreparedRequest prepared,
                                             routing::RouteDecision decision);
  // Waits for the first event and lets a second attempt run when it is late.
  Result<void> awaitFirstEvent(AnswerSession& session, const http::CompletionCall& call, Urgency urgency);
  Result<void> admit(const InferenceRequest& request, uint32_t maximum_tokens);

  const CompletionServiceOptions options_;
  const CompletionResources resources_;
};

}  // namespace quincewick::node
