// The interface through which the HTTP API for operators uses its node.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "types/error.h"
#include "types/identifiers.h"
#include "types/operator_action.h"

namespace quincewick::http {

// The policy that is active at the node.
struct PolicyText {
  ConfigurationVersion version;
  std::string text;  // canonical YAML
};

// Sets one object of the policy, such as "tenants/airport", or deletes it.
struct PolicyObjectChange {
  std::string key;
  std::optional<std::string> text;  // YAML
};

// A change of the policy: the complete policy text, or single objects.
struct PolicyChange {
  OperationId operation;  // idempotency key: a change that is sent again with the same id is applied once
  std::string author;     // set by the API to the name of the authenticated operator
  std::string comment;
  ConfigurationVersion base;  // the version that the change was made from
  std::variant<std::string, std::vector<PolicyObjectChange>> content;
};

struct ChangeAccepted {
  ConfigurationVersion version;
  bool changed = true;  // false: the policy already had these contents
};
// A concurrent change by another operator was accepted first.
struct ChangeConflicted {
  std::string key;
  ConfigurationVersion version;  // of the change that was accepted
  std::string author;            // of the change that was accepted
};
// The resulting policy would be invalid.
struct ChangeRejected {
  std::vector<std::string> faults;  // one message each
};
using ChangeOutcome = std::variant<ChangeAccepted, ChangeConflicted, ChangeRejected, Error>;

// An accepted change, as recorded for audits.
struct ChangeSummary {
  ConfigurationVersion version;
  OperationId operation;
  std::string author;
  std::string comment;
  absl::Time accepted_at;
  std::vector<std::string> keys;  // of the changed objects
};

// The policy version that another node last reported.
struct NodeVersion {
  NodeId node;
  ZoneName zone;
  ConfigurationVersion version;
  absl::Duration age;  // since the report
};

struct BackEndSummary {
  BackEndId id;
  std::string kind;   // "engine", "action_server" or "cache_store"
  std::string state;  // "starting", "ready", "draining", "leaving" or "gone"
  ZoneName zone;
  std::string models;  // NAME@VERSION, joined by commas
};

struct RolloutSummary {
  ModelName model;
  WeightsVersion wanted;
  uint32_t engines = 0;  // that should serve `wanted`
  uint32_t loaded = 0;
  uint32_t loading = 0;
  std::string state;  // "running", "done" or "rolled_back"
};

struct StatusReport {
  NodeId node;
  ZoneName zone;
  bool ready = false;
  bool relay = false;  // this node is the zone reader: it polls the store for its zone
  ConfigurationVersion version;
  absl::Duration confirmed_age;    // since the store confirmed that `version` is the newest
  std::vector<NodeVersion> nodes;  // the other nodes
  std::vector<BackEndSummary> back_ends;
  std::vector<RolloutSummary> rollouts;
};

struct ExplainQuery {
  TenantId tenant;
  RequestKind kind;
  ModelName model;
  AdapterName adapter;
  std::string prompt;
};

struct ExplainedRoute {
  std::string route;
  std::string outcome;
  std::string reason;
};

struct ExplainedEngine {
  BackEndId engine;
  double expected_seconds = 0;  // predicted time to first token
  std::string reason;
};

struct Explanation {
  std::string route;  // selected route; empty if none matched
  std::string urgency;
  BackEndId chosen;
  std::vector<ExplainedRoute> routes;
  std::vector<ExplainedEngine> engines;  // best first
};

// Implemented by the node. All functions are thread-safe and may block for several seconds.
class OperatorBackend {
 public:
  OperatorBackend() = default;
  OperatorBackend(const OperatorBackend&) = delete;
  OperatorBackend& operator=(const OperatorBackend&) = delete;
  virtual ~OperatorBackend() = default;

  // Returns the name of the operator that `key` belongs to. kUnauthenticated if the key is not valid,
  // kPermissionDenied if its role does not permit `action`.
  virtual Result<std::string> authorize(std::string_view key, OperatorAction action) = 0;

  virtual PolicyText policy() = 0;
  // Returns the permission that the change needs: changes of operators need the higher role.
  virtual OperatorAction requiredAction(const PolicyChange& change) = 0;
  virtual ChangeOutcome change(const PolicyChange& change) = 0;
  // Restores the contents of an earlier version as a new version.
  virtual ChangeOutcome rollback(ConfigurationVersion version, const PolicyChange& change) = 0;
  // Returns the changes after `version` that the node still stores, oldest first.
  virtual std::vector<ChangeSummary> changesAfter(ConfigurationVersion version) = 0;

  virtual StatusReport status() = 0;
  virtual Result<Explanation> explain(const ExplainQuery& query) = 0;
  virtual Result<void> drain(const BackEndId& back_end) = 0;
  virtual Result<void> resume(const BackEndId& back_end) = 0;
};

}  // namespace quincewick::http
