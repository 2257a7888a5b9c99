// What operators do with the policy, over the node's configuration host.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/access_control.h"
#include "http/operator_backend.h"
#include "node/configuration_host.h"

namespace quincewick::node {

// The part of http::OperatorBackend that concerns the policy. Thread-safe.
class PolicyOperations {
 public:
  // `host` must outlive this.
  explicit PolicyOperations(ConfigurationHost& host) : host_(host) {}

  // Makes the keys of a policy valid; called as versions come in force.
  void onInForce(const configuration::Policy& policy);

  Result<std::string> authorize(std::string_view key, OperatorAction action) const;
  http::PolicyText policy() const;
  OperatorAction requiredAction(const http::PolicyChange& change) const;
  http::ChangeOutcome change(const http::PolicyChange& change);
  http::ChangeOutcome rollback(ConfigurationVersion version, const http::PolicyChange& change);
  std::vector<http::ChangeSummary> changesAfter(ConfigurationVersion version) const;
  // Fills in what concerns the configuration; asks all peers first and waits a moment for their answers.
  void fillStatus(http::StatusReport& report);

 private:
  // The changes that a request asks for, against the policy in force here.
  Result<std::vector<configuration::ObjectChange>> changesOf(const http::PolicyChange& change,
                                                             std::vector<std::string>& faults) const;
  http::ChangeOutcome propose(const http::PolicyChange& change, ConfigurationVersion base,
                              std::vector<configuration::ObjectChange> changes);

  ConfigurationHost& host_;
  mutable absl::Mutex mutex_;
  std::shared_ptr<const configuration::AccessControl> access_ ABSL_GUARDED_BY(mutex_) =
      std::make_shared<configuration::AccessControl>();
};

}  // namespace quincewick::node
