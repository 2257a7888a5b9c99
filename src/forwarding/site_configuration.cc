#include "forwarding/site_configuration.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace quincewick::forwarding {
namespace {

std::string hostWithoutPort(std::string_view host) {
  const size_t colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
  return absl::AsciiStrToLower(std::string(has_port ? host.substr(0, colon) : host));
}

std::string_view pathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

SiteConfiguration::SiteConfiguration(ConfigurationVersion version, std::vector<Route> routes,
                                     std::vector<Service> services, CallerLimits limits,
                                     std::optional<std::vector<Tenant>> tenants)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      limits_(limits),
      needs_keys_(tenants.has_value()) {
  if (tenants) {
    tenants_ = std::move(*tenants);
  }
  for (const Service& service : services_) {
    if (service.cache_store) {
      cache_stores_.push_back(*service.cache_store);
    }
  }
  std::sort(routes_.begin(), routes_.end(), [](const Route& left, const Route& right) {
    return std::pair(left.host, right.path_prefix.size()) < std::pair(right.host, left.path_prefix.size());
  });
  for (size_t index = 0; index < routes_.size(); ++index) {
    first_route_.try_emplace(routes_[index].host, index);
  }
  for (size_t index = 0; index < tenants_.size(); ++index) {
    tenant_by_name_.try_emplace(tenants_[index].id, index);
    for (const std::string& key : tenants_[index].keys) {
      tenant_by_key_.try_emplace(key, index);
    }
  }
  rankUrgencies();
}

// A tenant's urgency overrides that of a route, so it may occur at any service.
void SiteConfiguration::rankUrgencies() {
  std::vector<uint32_t> of_tenants;
  for (const Tenant& tenant : tenants_) {
    if (tenant.urgency) {
      of_tenants.push_back(*tenant.urgency);
    }
  }
  absl::flat_hash_map<ServiceName, std::vector<uint32_t>> urgencies;
  for (const Route& route : routes_) {
    for (const ServiceShare& share : route.shares) {
      urgencies.try_emplace(share.service, of_tenants).first->second.push_back(route.urgency);
    }
  }
  for (auto& [service, all] : urgencies) {
    levels_.emplace(service, scheduling::UrgencyLevels(std::move(all)));
  }
}

const scheduling::UrgencyLevels& SiteConfiguration::levelsOf(const ServiceName& service) const {
  static const scheduling::UrgencyLevels none;
  const auto found = levels_.find(service);
  return found == levels_.end() ? none : found->second;
}

const Route* SiteConfiguration::findRoute(std::string_view host, std::string_view target) const {
  const auto first = first_route_.find(hostWithoutPort(host));
  if (first == first_route_.end()) {
    return nullptr;
  }
  const std::string_view path = pathOf(target);
  for (size_t index = first->second; index < routes_.size() && routes_[index].host == first->first; ++index) {
    if (path.starts_with(routes_[index].path_prefix)) {
      return &routes_[index];
    }
  }
  return nullptr;
}

const Tenant* SiteConfiguration::findTenant(const std::string& key) const {
  const auto found = tenant_by_key_.find(key);
  return found == tenant_by_key_.end() ? nullptr : &tenants_[found->second];
}

const Tenant* SiteConfiguration::findTenantNamed(const TenantId& id) const {
  const auto found = tenant_by_name_.find(id);
  return found == tenant_by_name_.end() ? nullptr : &tenants_[found->second];
}

const Service* SiteConfiguration::findService(const ServiceName& name) const {
  const auto found = std::find_if(services_.begin(), services_.end(),
                                  [&name](const Service& service) { return service.name == name; });
  return found == services_.end() ? nullptr : &*found;
}

}  // namespace quincewick::forwarding
