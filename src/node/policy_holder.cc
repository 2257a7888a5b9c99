#include "node/policy_holder.h"

#include <utility>

namespace quincewick::node {
Result<bool> PolicyHolder::install(ConfigurationVersion version, configuration::Policy policy) {
  BOOST_OUTCOME_TRY(routes, routing::RouteTable::build(configuration::routeTableSpecification(policy)));
  auto prepared = std::make_shared<PolicyInForce>();
  prepared->version = version;
  prepared->access = configuration::AccessControl(policy);
  prepared->policy = std::move(policy);
  prepared->routes = std::make_shared<const routing::RouteTable>(std::move(routes));
  absl::MutexLock lock(&mutex_);
  if (current_ != nullptr && current_->version >= version) {
    return false;
  }
  current_ = std::move(prepared);
  return true;
}

std::shared_ptr<const PolicyInForce> PolicyHolder::current() const {
  absl::MutexLock lock(&mutex_);
  return current_;
}

}  // namespace quincewick::node
