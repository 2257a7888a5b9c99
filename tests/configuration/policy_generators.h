// Arbitrary policies whose parts fit together.
#pragma once

#include <rapidcheck/catch.h>

#include <string>
#include <vector>

#include "configuration/policy.h"

namespace quincewick::configuration {

// Names that are hard on YAML: words that readers take for numbers, booleans or nothing.
inline rc::Gen<std::string> genName() {
  return rc::gen::element<std::string>("a", "b-1", "null", "true", "No", "1", "0x1F", "1e5", "a:b", "x/y.z",
                                       "9:", "2027-01-01");
}

inline rc::Gen<std::vector<std::string>> genNames() {
  return rc::gen::mapcat(rc::gen::inRange<size_t>(0, 5), [](size_t count) {
    return rc::gen::container<std::vector<std::string>>(count, genName());
  });
}

inline rc::Gen<absl::Duration> genDuration() {
  return rc::gen::map(rc::gen::inRange<int64_t>(1'000'000, 80'000'000'000'000),
                      [](int64_t nanoseconds) { return absl::Nanoseconds(nanoseconds); });
}

inline double genNumber(double minimum, double maximum) {
  const int thousandths = *rc::gen::inRange(0, 1001);
  return minimum + (maximum - minimum) * thousandths / 1000;
}

inline KeyHash genKey(int& serial) {
  KeyHash key;
  key.sha256 = std::string(56, 'f') + std::to_string(10'000'000 + ++serial);
  if (*rc::gen::arbitrary<bool>()) {
    key.expires = absl::FromUnixNanos(*rc::gen::inRange<int64_t>(0, 2'000'000'000'000'000'000));
  }
  return key;
}

inline Labels genLabels() {
  Labels labels;
  for (const std::string& key : *genNames()) {
    labels.set(key, *rc::gen::oneOf(genName(), rc::gen::just(std::string())));
  }
  return labels;
}

inline TenantPolicy genTenant(int& serial) {
  TenantPolicy tenant;
  tenant.labels = genLabels();
  if (*rc::gen::arbitrary<bool>()) {
    tenant.isolation_domain = TenantId(*genName());
  }
  tenant.weight = genNumber(0.001, 1000);
  tenant.limits = {genNumber(0, 1e9), genNumber(0, 1e9), *rc::gen::arbitrary<uint32_t>()};
  for (int count = *rc::gen::inRange(0, 3); count > 0; --count) {
    tenant.caller_keys.push_back(genKey(serial));
  }
  return tenant;
}

inline routing::RouteSpecification genRoute(const std::string& name, const std::vector<GroupName>& groups) {
  routing::RouteSpecification route;
  route.name = name;
  route.priority = *rc::gen::arbitrary<int32_t>();
  route.selector =
      routing::Selector::parse(*rc::gen::element<std::string>("", "a=b", "kind in (quote,barrier),!x",
                                                              "tenant notin (a),model!=b"))
          .value();
  if (*rc::gen::arbitrary<bool>()) {
    route.urgency = *rc::gen::elementOf(kAllUrgencies);
    route.deadline = *genDuration();
  }
  route.groups = {*rc::gen::elementOf(groups)};
  if (*rc::gen::arbitrary<bool>()) {
    route.old_path = {*rc::gen::elementOf(groups), *rc::gen::inRange<uint32_t>(0, 101),
                      *rc::gen::element(routing::Stickiness::kTenant, routing::Stickiness::kSession)};
    route.mirror = *rc::gen::elementOf(groups);
  }
  return route;
}

inline rc::Gen<Policy> genPolicy() {
  return rc::gen::exec([] {
    int serial = 0;
    Policy policy;
    const auto names = [] { return *genNames(); };
    policy.site.block_size = *rc::gen::inRange<uint32_t>(16, 1U << 20);
    for (const std::string& name : names()) {
      policy.tenants[TenantId(name)] = genTenant(serial);
    }
    for (const std::string& name : names()) {
      policy.models[ModelName(name)] = {WeightsVersion(*rc::gen::arbitrary<uint64_t>()),
                                        {AdapterName(*genName())}};
    }
    for (const std::string& name : names()) {
      RequestKindPolicy& kind = policy.request_kinds[RequestKind(name)];
      kind.type = *rc::gen::element(RequestType::kInference, RequestType::kAction);
      kind.labels = genLabels();
      kind.urgency = *rc::gen::elementOf(kAllUrgencies);
      kind.deadline = *genDuration();
      kind.repeatable = *rc::gen::arbitrary<bool>();
    }
    std::vector<GroupName> groups;
    for (const std::string& name : names()) {
      policy.groups[GroupName(name)].back_ends = routing::Selector::parse("zone in (a,b)").value();
      groups.emplace_back(name);
    }
    if (!groups.empty()) {
      for (const std::string& name : names()) {
        policy.routes[name] = genRoute(name, groups);
      }
    }
    policy.admission.urgent = {genNumber(0.01, 1), genNumber(0, 0.3), *genDuration()};
    policy.retries.retry_share = genNumber(0, 1);
    for (const std::string& name : names()) {
      policy.operators[name] = {
          *rc::gen::element(OperatorRole::kViewer, OperatorRole::kOperator, OperatorRole::kAdmin),
          {genKey(serial)}};
    }
    return policy;
  });
}

}  // namespace quincewick::configuration
