// Serves completions: policy, admission, routing and the answer's stream put together.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

#include "engine/engine_channel.h"
#include "http/caller_backend.h"
#include "node/admission_gate.h"
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
  NodeMetrics& metrics;
  std::function<absl::Time()> clock;
};

// Thread-safe.
class CompletionService {
 public:
  CompletionService(CompletionServiceOptions options, CompletionResources resources)
      : options_(std::move(options)), resources_(std::move(resources)) {}

  // Blocks until the answer's first event. An error is the final answer to the request.
  Result<std::shared_ptr<http::AnswerReader>> complete(const http::CompletionCall& call);

  // Which route and engine the request would get now, and why, in plain text lines for operators.
  Result<InferenceRequest> describe(const http::CompletionCall& call);

 private:
  Result<InferenceRequest> makeRequest(const PolicyInForce& policy, const http::CompletionCall& call) const;
  Result<void> admit(const InferenceRequest& request, uint32_t maximum_tokens);

  const CompletionServiceOptions options_;
  const CompletionResources resources_;
};

}  // namespace quincewick::node
