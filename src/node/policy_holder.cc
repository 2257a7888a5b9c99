#include "node/policy_holder.h"

#include <utility>

#include "node/sha256.h"

namespace quincewick::node {
namespace {

absl::flat_hash_map<std::string, CallerKey> collectCallerKeys(const configuration::Policy& policy) {
  absl::flat_hash_map<std::string, CallerKey> keys;
  for (const auto& [tenant, tenant_policy] : policy.tenants) {
    for (const configuration::KeyHash& key : tenant_policy.caller_keys) {
      keys[key.sha256] = CallerKey{tenant, key.expires.value_or(absl::InfiniteFuture())};
    }
  }
  return keys;
}

}  // namespace

Result<TenantId> authenticateCaller(const PolicyInForce& policy, std::string_view key, absl::Time now) {
  // Only hashes are compared: how long a look-up takes says nothing about a key.
  const auto entry = policy.caller_keys.find(sha256Hex(key));
  if (entry == policy.caller_keys.end() || entry->second.expires <= now) {
    return fail(ErrorCode::kUnauthenticated, "a valid key is needed");
  }
  return entry->second.tenant;
}

Result<bool> PolicyHolder::install(ConfigurationVersion version, configuration::Policy policy) {
  BOOST_OUTCOME_TRY(routes, routing::RouteTable::build(configuration::routeTableSpecification(policy)));
  auto prepared = std::make_shared<PolicyInForce>();
  prepared->version = version;
  prepared->caller_keys = collectCallerKeys(policy);
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
