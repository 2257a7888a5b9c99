// What operators ask of a node: the policy, status, explanations.
#pragma once

#include "configuration/node_settings.h"
#include "http/operator_backend.h"
#include "node/back_end_monitor.h"
#include "node/completion_service.h"
#include "node/policy_operations.h"
#include "node/router_host.h"

namespace quincewick::node {

// What the service uses of the node. All outlive it.
struct OperatorResources {
  const configuration::NodeSettings& settings;
  PolicyOperations& policy;
  CompletionService& completions;
  RouterHost& router;
  BackEndMonitor& back_ends;
  std::function<bool()> is_ready;
};

// Thread-safe.
class OperatorService : public http::OperatorBackend {
 public:
  explicit OperatorService(OperatorResources resources) : resources_(std::move(resources)) {}

  Result<std::string> authorize(std::string_view key, OperatorAction action) override;
  http::PolicyText policy() override;
  OperatorAction requiredAction(const http::PolicyChange& change) override;
  http::ChangeOutcome change(const http::PolicyChange& change) override;
  http::ChangeOutcome rollback(ConfigurationVersion version, const http::PolicyChange& change) override;
  std::vector<http::ChangeSummary> changesAfter(ConfigurationVersion version) override;
  http::StatusReport status() override;
  Result<http::Explanation> explain(const http::ExplainQuery& query) override;
  Result<void> drain(const BackEndId& back_end) override;
  Result<void> resume(const BackEndId& back_end) override;

 private:
  const OperatorResources resources_;
};

}  // namespace quincewick::node
