// The operator's configuration for forwarded traffic: routes, services, limits, tenants and their keys.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quota/rate_limit.h"
#include "scheduling/urgency_levels.h"
#include "types/back_end.h"
#include "types/identifiers.h"

namespace quincewick::forwarding {

using ServiceName = StrongString<struct ServiceNameTag>;  // names a pool of interchangeable servers

// Whether a failed request may be retried.
enum class RepeatKind : uint8_t {
  kRepeatable,  // idempotent: may run any number of times
  kOnce,        // runs at most once
  kStream,      // has an event stream as response; runs at most once unless the route allows resumption
};

struct ServiceShare {
  ServiceName service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;         // lower case, without a port
  std::string path_prefix;  // begins and ends with a slash
  RepeatKind kind = RepeatKind::kOnce;
  std::optional<absl::Duration> timeout;
  std::optional<absl::Duration> target_latency;
  // The longest pause between the events of a stream with which the stream still counts as on time.
  std::optional<absl::Duration> allowed_pause;
  uint32_t urgency = 5;  // 0 is the most urgent
  std::vector<ServiceShare> shares;
  uint32_t max_attempts = 1;
  bool is_public = false;     // served without a key
  bool has_prompt = false;    // requests declare the parts of their prompt
  bool is_resumable = false;  // another server may resume a stream after a given event id

  // Whether a request that may have been executed may be sent again.
  bool mayRunAgain() const {
    return kind == RepeatKind::kRepeatable || (kind == RepeatKind::kStream && is_resumable);
  }
};

struct EngineTraits {
  uint32_t slots = 1;
  uint64_t cache_tokens = 0;  // cache capacity of one engine
  std::vector<ModelName> models;
};

// A store for cached prefixes: a source and target of cache transfers that never receives requests.
struct CacheStoreTraits {
  Address address;
  ZoneName zone;
};

struct Service {
  ServiceName name;
  uint32_t max_connections = 100;  // to one server, for all callers together
  std::optional<EngineTraits> engine;
  std::optional<CacheStoreTraits> cache_store;
};

struct CallerLimits {
  uint32_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

struct Tenant {
  TenantId id;
  std::vector<std::string> keys;
  std::optional<uint32_t> urgency;        // overrides that of the route
  bool is_isolated = false;               // shares no cached prefixes with other tenants
  std::optional<quota::RateLimit> limit;  // over all gateways; nullopt: unlimited
};

// One version of the configuration. Immutable once built.
class SiteConfiguration {
 public:
  SiteConfiguration() = default;
  SiteConfiguration(ConfigurationVersion version, std::vector<Route> routes, std::vector<Service> services,
                    CallerLimits limits, std::optional<std::vector<Tenant>> tenants);

  ConfigurationVersion version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  // Whether requests need a key, except on public routes.
  bool needsKeys() const { return needs_keys_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::vector<Service>& services() const { return services_; }

  // The route of the host with the longest matching path prefix, or null. `host` may include a port, `target`
  // a query.
  const Route* findRoute(std::string_view host, std::string_view target) const;
  // The tenant that has the key, or null.
  const Tenant* findTenant(const std::string& key) const;
  // The tenant with that id, or null.
  const Tenant* findTenantNamed(const TenantId& id) const;
  const Service* findService(const ServiceName& name) const;
  // The service's urgency levels, in which engines serve requests: the urgencies of its routes and of all
  // tenants, ranked.
  const scheduling::UrgencyLevels& levelsOf(const ServiceName& service) const;
  // The cache stores of the site, which are identified by their addresses.
  const std::vector<CacheStoreTraits>& cacheStores() const { return cache_stores_; }

 private:
  void rankUrgencies();

  ConfigurationVersion version_;
  std::vector<Route> routes_;  // by host, longest prefix first
  std::vector<Service> services_;
  std::vector<CacheStoreTraits> cache_stores_;
  CallerLimits limits_;
  bool needs_keys_ = false;
  std::vector<Tenant> tenants_;
  absl::flat_hash_map<std::string, size_t> first_route_;  // by host: index into routes_
  absl::flat_hash_map<std::string, size_t> tenant_by_key_;
  absl::flat_hash_map<TenantId, size_t> tenant_by_name_;
  absl::flat_hash_map<ServiceName, scheduling::UrgencyLevels> levels_;
};

}  // namespace quincewick::forwarding
