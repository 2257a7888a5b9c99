// The policy in force on this node, prepared for lookups.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>

#include "configuration/access_control.h"
#include "configuration/policy.h"
#include "routing/route_table.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::node {

// One version of the policy. Immutable; shared by the requests that began under it.
struct PolicyInForce {
  ConfigurationVersion version;
  configuration::Policy policy;
  std::shared_ptr<const routing::RouteTable> routes;
  configuration::AccessControl access;
};

// Thread-safe.
class PolicyHolder {
 public:
  // Puts a policy in force unless a newer or equal version already is: a node never goes back. Returns
  // whether it did. kInvalidArgument when no route table can be built of it.
  Result<bool> install(ConfigurationVersion version, configuration::Policy policy);

  // Null until the first policy is installed.
  std::shared_ptr<const PolicyInForce> current() const;

 private:
  mutable absl::Mutex mutex_;
  std::shared_ptr<const PolicyInForce> current_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace quincewick::node
