// The tables of fields of the policy's parts. Internal to the reading and printing of policies.
#pragma once

#include "configuration/policy.h"
#include "configuration/yaml_schema.h"

namespace quincewick::configuration {

const YamlSchema<SitePolicy>& schemaOf(const SitePolicy* type);
const YamlSchema<TenantPolicy>& schemaOf(const TenantPolicy* type);
const YamlSchema<ModelPolicy>& schemaOf(const ModelPolicy* type);
const YamlSchema<RequestKindPolicy>& schemaOf(const RequestKindPolicy* type);
const YamlSchema<GroupPolicy>& schemaOf(const GroupPolicy* type);
const YamlSchema<AdmissionPolicy>& schemaOf(const AdmissionPolicy* type);
const YamlSchema<RetryPolicy>& schemaOf(const RetryPolicy* type);
const YamlSchema<OperatorPolicy>& schemaOf(const OperatorPolicy* type);
const YamlSchema<Policy>& schemaOf(const Policy* type);

}  // namespace quincewick::configuration

namespace quincewick::routing {

// Stands beside the type that it describes, so that it is found by its argument.
const configuration::YamlSchema<RouteSpecification>& schemaOf(const RouteSpecification* type);

}  // namespace quincewick::routing
