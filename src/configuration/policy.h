// The policy: what operators decide for the whole site. It is versioned and the same on all nodes.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_controller.h"
#include "configuration/diagnostics.h"
#include "routing/route_specification.h"
#include "types/identifiers.h"
#include "types/labels.h"
#include "types/urgency.h"

namespace quincewick::configuration {

// What a caller or an operator proves to know: a key, of which only the hash is kept.
struct KeyHash {
  std::string sha256;                 // 64 lower-case hexadecimal digits, of a key of high entropy
  std::optional<absl::Time> expires;  // nothing: never

  friend bool operator==(const KeyHash&, const KeyHash&) = default;
};

// What a tenant may take of the whole site. 0: no limit.
struct TenantLimits {
  double requests_per_second = 0;
  double tokens_per_second = 0;  // of the prompt that were not cached, and of the answer
  uint32_t concurrent_requests = 0;

  friend bool operator==(const TenantLimits&, const TenantLimits&) = default;
};

struct TenantPolicy {
  Labels labels;
  std::optional<TenantId> isolation_domain;  // tenants with one domain share cached blocks; default: its own
  double weight = 1;                         // of its share when not all can be served
  TenantLimits limits;
  std::vector<KeyHash> caller_keys;

  friend bool operator==(const TenantPolicy&, const TenantPolicy&) = default;
};

struct ModelPolicy {
  WeightsVersion weights_version;  // that engines shall serve
  std::vector<AdapterName> adapters;

  friend bool operator==(const ModelPolicy&, const ModelPolicy&) = default;
};

enum class RequestType : uint8_t {
  kInference,  // answered by a model engine
  kAction,     // carried out by an action server
};

struct RequestKindPolicy {
  RequestType type = RequestType::kInference;
  Labels labels;
  Urgency urgency = Urgency::kStandard;
  std::optional<absl::Duration> deadline;  // for the first token or the action's outcome
  std::optional<bool> repeatable;          // default: inference is, actions are not

  bool isRepeatable() const { return repeatable.value_or(type == RequestType::kInference); }

  friend bool operator==(const RequestKindPolicy&, const RequestKindPolicy&) = default;
};

// Back ends that traffic can be sent to.
struct GroupPolicy {
  routing::Selector back_ends;  // over their labels

  friend bool operator==(const GroupPolicy&, const GroupPolicy&) = default;
};

struct ClassPolicy {
  double window_share = 1;   // of the concurrency window that this and less urgent classes may fill
  double minimum_share = 0;  // of the work that it gets however busy more urgent classes are
  absl::Duration maximum_wait = absl::Seconds(10);

  friend bool operator==(const ClassPolicy&, const ClassPolicy&) = default;
};

struct AdmissionPolicy {
  ClassPolicy urgent = {1.0, 0, absl::Seconds(5)};
  ClassPolicy standard = {0.9, 0.1, absl::Seconds(15)};
  ClassPolicy deferrable = {0.75, 0.05, absl::Minutes(5)};
  uint32_t maximum_waiting = 1024;            // on each node
  uint32_t maximum_waiting_per_tenant = 256;  // on each node, in each class
  absl::Duration shortest_retry_after = absl::Milliseconds(500);
  absl::Duration longest_retry_after = absl::Minutes(2);

  friend bool operator==(const AdmissionPolicy&, const AdmissionPolicy&) = default;
};

struct RetryPolicy {
  uint32_t maximum_attempts = 3;   // of one repeatable request
  double retry_share = 0.1;        // retries for each first attempt, at most
  double hedge_share = 0.05;       // second attempts of slow urgent requests, at most
  uint32_t ejection_failures = 5;  // in a row, after which a back end gets no work for a while
  absl::Duration ejection_time = absl::Seconds(10);

  friend bool operator==(const RetryPolicy&, const RetryPolicy&) = default;
};

struct SitePolicy {
  uint32_t block_size = 4096;                          // characters in a block of cached prompt
  uint32_t simultaneous_loads = 2;                     // engines that load weights at once
  absl::Duration outcome_retention = absl::Hours(24);  // how long outcomes of actions are kept

  friend bool operator==(const SitePolicy&, const SitePolicy&) = default;
};

// Each role may do what those before it may.
enum class OperatorRole : uint8_t {
  kViewer,    // reads
  kOperator,  // also drains, resumes and changes all but operators
  kAdmin,     // also changes operators
};

struct OperatorPolicy {
  OperatorRole role = OperatorRole::kViewer;
  std::vector<KeyHash> keys;

  friend bool operator==(const OperatorPolicy&, const OperatorPolicy&) = default;
};

struct Policy {
  // The version that an operator's text was made from; 0 if it does not say. Not part of what is in force.
  uint64_t base_version = 0;
  SitePolicy site;
  absl::btree_map<TenantId, TenantPolicy> tenants;
  absl::btree_map<ModelName, ModelPolicy> models;
  absl::btree_map<RequestKind, RequestKindPolicy> request_kinds;
  absl::btree_map<GroupName, GroupPolicy> groups;
  absl::btree_map<std::string, routing::RouteSpecification> routes;  // each under its own name
  AdmissionPolicy admission;
  RetryPolicy retries;
  absl::btree_map<std::string, OperatorPolicy> operators;

  friend bool operator==(const Policy&, const Policy&) = default;
};

// Reads a policy's text and checks it as a whole. All faults are listed.
Parsed<Policy> parsePolicy(const std::string& text);

// Prints the canonical text: `parsePolicy(printPolicy(policy))` gives an equal policy.
std::string printPolicy(const Policy& policy);

// The policy's part for the route table. Of equal routes the one whose name sorts first comes first.
routing::RouteTableSpecification routeTableSpecification(const Policy& policy);

// The policy's part for admission control.
admission::AdmissionConfiguration admissionConfiguration(const Policy& policy);

}  // namespace quincewick::configuration
