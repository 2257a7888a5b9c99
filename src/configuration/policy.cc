#include "configuration/policy.h"

#include "configuration/policy_check.h"
#include "configuration/policy_schema.h"

namespace quincewick::configuration {
namespace {

std::string joinPath(const std::vector<std::string>& path) {
  std::string out;
  for (const std::string& key : path) {
    out += (out.empty() ? "" : ".") + key;
  }
  return out;
}

// Where in the text a path stands: the place of its deepest key that the text has.
YAML::Mark markOf(const YAML::Node& document, const std::vector<std::string>& path) {
  YAML::Mark mark = document.Mark();
  YAML::Node node = document;
  for (const std::string& key : path) {
    YAML::Node next;
    for (const auto& entry : node) {
      if (entry.first.IsScalar() && entry.first.Scalar() == key) {
        mark = entry.first.Mark();
        next.reset(entry.second);
      }
    }
    if (!next.IsMap()) {
      break;
    }
    node.reset(next);
  }
  return mark;
}

Diagnostic locate(const YAML::Node& document, const PolicyFault& fault) {
  const YAML::Mark mark = markOf(document, fault.path);
  if (mark.is_null()) {
    return {0, 0, joinPath(fault.path), fault.message};
  }
  return {static_cast<uint32_t>(mark.line + 1), static_cast<uint32_t>(mark.column + 1), joinPath(fault.path),
          fault.message};
}

admission::ClassConfiguration classConfiguration(const ClassPolicy& policy) {
  return {policy.window_share, policy.minimum_share, policy.maximum_wait};
}

}  // namespace

Parsed<Policy> parsePolicy(const std::string& text) {
  Parsed<Policy> result;
  Parsed<YAML::Node> document = loadYaml(text);
  result.diagnostics = std::move(document.diagnostics);
  if (!document.ok()) {
    return result;
  }
  Policy policy;
  if (!YamlCodec<Policy>::read(YamlCursor(*document.value, "", result.diagnostics), policy)) {
    return result;
  }
  for (auto& [name, route] : policy.routes) {
    route.name = name;
  }
  for (const PolicyFault& fault : checkPolicy(policy)) {
    result.diagnostics.push_back(locate(*document.value, fault));
  }
  if (result.diagnostics.empty()) {
    result.value = std::move(policy);
  }
  return result;
}

std::string printPolicy(const Policy& policy) {
  return printYaml(policy);
}

routing::RouteTableSpecification routeTableSpecification(const Policy& policy) {
  routing::RouteTableSpecification specification;
  for (const auto& [name, group] : policy.groups) {
    specification.groups.push_back({name, group.back_ends});
  }
  for (const auto& [name, route] : policy.routes) {
    specification.routes.push_back(route);
    specification.routes.back().name = name;
  }
  return specification;
}

admission::AdmissionConfiguration admissionConfiguration(const Policy& policy) {
  admission::AdmissionConfiguration configuration;
  configuration.classes = {classConfiguration(policy.admission.urgent),
                           classConfiguration(policy.admission.standard),
                           classConfiguration(policy.admission.deferrable)};
  configuration.maximum_waiting = policy.admission.maximum_waiting;
  configuration.maximum_waiting_per_tenant = policy.admission.maximum_waiting_per_tenant;
  configuration.shortest_retry_after = policy.admission.shortest_retry_after;
  configuration.longest_retry_after = policy.admission.longest_retry_after;
  for (const auto& [id, tenant] : policy.tenants) {
    configuration.tenant_weights[id] = tenant.weight;
  }
  return configuration;
}

}  // namespace quincewick::configuration
