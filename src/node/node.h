// One node: everything of a `quincewick serve` process put together.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "configuration/node_settings.h"
#include "engine/http_action_channel.h"
#include "engine/http_engine_channel.h"
#include "http/caller_backend.h"
#include "http/http_server.h"
#include "node/action_service.h"
#include "node/admission_gate.h"
#include "node/back_end_monitor.h"
#include "node/completion_service.h"
#include "node/node_metrics.h"
#include "node/policy_holder.h"
#include "node/router_host.h"
#include "node/worker_pool.h"
#include "platform/http_platform.h"

namespace quincewick::node {

// Owns all parts and their threads. start() and stop() are called by one owner; the rest is thread-safe.
class Node : public http::CallerBackend {
 public:
  explicit Node(const configuration::NodeSettings& settings);
  ~Node() override;

  // Puts a policy in force, unless a newer one is.
  Result<void> installPolicy(ConfigurationVersion version, configuration::Policy policy);

  // Serves by this policy until an accepted one is known.
  Result<void> installInitialPolicy(configuration::Policy policy);

  // Begins to serve callers. Returns the port taken.
  Result<uint16_t> start();

  // Refuses new requests, lets those in flight end, then stops.
  void stop();

  size_t answeringEngines() { return monitor_.answeringEngines(); }

  // http::CallerBackend
  Result<TenantId> authenticate(std::string_view key) override;
  RequestId newRequestId() override;
  Result<std::shared_ptr<http::AnswerReader>> complete(const http::CompletionCall& call) override;
  Result<std::shared_ptr<http::AnswerReader>> reconnect(const RequestId& request, const TenantId& tenant,
                                                        std::optional<uint64_t> last_offset) override;
  Result<http::ActionAnswer> runAction(const http::ActionCall& call) override;
  std::vector<ModelName> models(const TenantId& tenant) override;
  bool ready() override;
  std::string metricsText() override;

 private:
  Result<void> refuseWhileLeaving() const;

  const configuration::NodeSettings settings_;
  NodeMetrics metrics_;
  PolicyHolder policies_;
  platform::HttpPlatform platform_;
  engine::HttpEngineChannel engines_;
  engine::HttpActionChannel action_channel_;
  RouterHost router_;
  AdmissionGate gate_;
  BackEndHealth health_;
  KeptAnswers kept_answers_;
  BackEndMonitor monitor_;
  WorkerPool workers_;
  CompletionService completions_;
  ActionService actions_;
  std::atomic<bool> leaving_ = false;
  std::unique_ptr<http::HttpServer> caller_server_;
};

}  // namespace quincewick::node
