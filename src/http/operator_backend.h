// What the operators' HTTP API asks of the node.
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

// The policy in force at the node.
struct PolicyText {
  ConfigurationVersion version;
  std::string text;  // canonical YAML
};

// Sets one object of the policy, such as "tenants/airport", or deletes it.
struct PolicyObjectChange {
  std::string key;
  std::optional<std::string> text;  // YAML
};

// A change of the policy: a whole text, or single objects.
struct PolicyChange {
  OperationId operation;  // unique for each intent; a repeat of it changes nothing more
  std::string author;     // set by the API to the name that the key belongs to
  std::string comment;
  ConfigurationVersion base;  // the version that the operator has seen
  std::variant<std::string, std::vector<PolicyObjectChange>> content;
};

struct ChangeAccepted {
  ConfigurationVersion version;
  bool changed = true;  // false: all was so already
};
// Another operator's change came first.
struct ChangeConflicted {
  std::string key;
  ConfigurationVersion version;  // that won
  std::string author;            // who won
};
// The policy would have these faults, one a line.
struct ChangeRejected {
  std::vector<std::string> faults;
};
using ChangeOutcome = std::variant<ChangeAccepted, ChangeConflicted, ChangeRejected, Error>;

// An accepted change, as kept for audit.
struct ChangeSummary {
  ConfigurationVersion version;
  OperationId operation;
  std::string author;
  std::string comment;
  absl::Time accepted_at;
  std::vector<std::string> keys;  // of the objects that it changed
};

// What one node knows of another one's version.
struct NodeVersion {
  NodeId node;
  ZoneName zone;
  ConfigurationVersion version;
  absl::Duration age;  // since it said so
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
  uint32_t engines = 0;  // that shall serve it
  uint32_t loaded = 0;
  uint32_t loading = 0;
  std::string state;  // "running", "done" or "rolled_back"
};

struct StatusReport {
  NodeId node;
  ZoneName zone;
  bool ready = false;
  bool relay = false;  // this node polls the store for its zone
  ConfigurationVersion version;
  absl::Duration confirmed_age;    // since the store confirmed that this is the newest
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
  double expected_seconds = 0;  // to the first token
  std::string reason;
};

struct Explanation {
  std::string route;  // that won; empty: none
  std::string urgency;
  BackEndId chosen;
  std::vector<ExplainedRoute> routes;
  std::vector<ExplainedEngine> engines;  // the best first
};

// Implemented by the node. All calls may come from several threads at once, and may block for some seconds.
class OperatorBackend {
 public:
  OperatorBackend() = default;
  OperatorBackend(const OperatorBackend&) = delete;
  OperatorBackend& operator=(const OperatorBackend&) = delete;
  virtual ~OperatorBackend() = default;

  // The name of the operator whose key it is; kUnauthenticated or kPermissionDenied.
  virtual Result<std::string> authorize(std::string_view key, OperatorAction action) = 0;

  virtual PolicyText policy() = 0;
  // Whether the change touches operators, so that the greater role is needed.
  virtual OperatorAction requiredAction(const PolicyChange& change) = 0;
  virtual ChangeOutcome change(const PolicyChange& change) = 0;
  // Brings back the contents of an earlier version as a new one.
  virtual ChangeOutcome rollback(ConfigurationVersion version, const PolicyChange& change) = 0;
  // The changes after a version that the node remembers, oldest first.
  virtual std::vector<ChangeSummary> changesAfter(ConfigurationVersion version) = 0;

  virtual StatusReport status() = 0;
  virtual Result<Explanation> explain(const ExplainQuery& query) = 0;
  virtual Result<void> drain(const BackEndId& back_end) = 0;
  virtual Result<void> resume(const BackEndId& back_end) = 0;
};

}  // namespace quincewick::http
