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
#include "membership/drain_coordinator.h"
#include "node/action_service.h"
#include "node/admission_gate.h"
#include "node/back_end_monitor.h"
#include "node/completion_service.h"
#include "node/configuration_host.h"
#include "node/ledger_host.h"
#include "node/membership_host.h"
#include "node/node_metrics.h"
#include "node/operator_service.h"
#include "node/peer_network.h"
#include "node/policy_holder.h"
#include "node/policy_operations.h"
#include "node/router_host.h"
#include "node/use_gate.h"
#include "node/worker_pool.h"
#include "platform/http_platform.h"

namespace quincewick::node {

// Where a node serves, once it has started.
struct NodePorts {
  uint16_t callers = 0;
  uint16_t operators = 0;
  uint16_t peers = 0;
};

// Owns all parts and their threads. start(), drain() and stop() are called by one owner; the rest is
// thread-safe.
class Node : public http::CallerBackend {
 public:
  // `initial_policy`: served by until an accepted policy is known.
  Node(const configuration::NodeSettings& settings, std::optional<configuration::Policy> initial_policy);
  ~Node() override;

  // Joins the other nodes and begins to serve callers and operators.
  Result<NodePorts> start();

  // A planned stop: tells peers and callers, refuses new work after the announcement period, and waits until
  // nothing is in flight or the limit for streams has passed.
  void drain(const membership::DrainSettings& settings);

  // Stops at once.
  void stop();

  size_t answeringEngines() { return monitor_.answeringEngines(); }

  // http::CallerBackend
  Result<TenantId> authenticate(std::string_view key) override;
  RequestId newRequestId() override;
  Result<std::shared_ptr<http::ResponseReader>> complete(const http::CompletionCall& call) override;
  Result<std::shared_ptr<http::ResponseReader>> reconnect(const RequestId& request, const TenantId& tenant,
                                                          std::optional<uint64_t> last_offset) override;
  Result<http::ActionAnswer> runAction(const http::ActionCall& call) override;
  std::vector<ModelName> models(const TenantId& tenant) override;
  bool ready() override;
  std::string metricsText() override;

 private:
  Result<void> openNetwork(Incarnation incarnation);
  void makeHosts(Incarnation incarnation);
  Result<uint16_t> startCallerServer();
  Result<uint16_t> startOperatorServer();
  std::vector<PeerSubscription> subscriptions();
  void sendToPeer(const NodeId& to, peer::PeerModule module, std::string bytes);
  void onMembersChanged(const std::vector<MemberView>& members);
  void onPolicyInForce(ConfigurationVersion version, const configuration::Policy& policy);
  // Gives a kept answer to the node that its caller came back to.
  Result<std::string> giveAnswer(const std::string& request);
  Result<streams::RecentAnswer> takeAnswer(const RequestId& request, const TenantId& tenant);
  void drainUntilIdle(const membership::DrainSettings& settings);
  Result<void> refuseWhileLeaving() const;
  uint32_t inFlight();

  const configuration::NodeSettings settings_;
  const std::optional<configuration::Policy> initial_policy_;
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

  UseGate hosts_;  // open while the hosts below exist; messages at other times are dropped
  std::atomic<bool> unready_ = false;   // leaving: balancers should turn away
  std::atomic<bool> refusing_ = false;  // leaving: nothing new is taken
  std::atomic<uint32_t> actions_in_flight_ = 0;

  // Made by start(), in this order; the network ends first.
  std::unique_ptr<MembershipHost> membership_;
  std::unique_ptr<ConfigurationHost> configuration_;
  std::unique_ptr<PolicyOperations> policy_operations_;
  std::unique_ptr<LedgerHost> ledger_;
  std::unique_ptr<ActionService> actions_;
  std::unique_ptr<OperatorService> operator_service_;
  std::unique_ptr<PeerNetwork> network_;
  std::unique_ptr<http::HttpServer> caller_server_;
  std::unique_ptr<http::HttpServer> operator_server_;
};

}  // namespace quincewick::node
