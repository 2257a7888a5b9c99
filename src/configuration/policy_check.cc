#include "configuration/policy_check.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <string_view>

#include "routing/route_table.h"

namespace quincewick::configuration {
namespace {

// Keys that selectors see of every request, whatever its labels say.
constexpr std::array<std::string_view, 4> kBuiltInLabels = {"tenant", "kind", "model", "adapter"};

class PolicyChecker {
 public:
  explicit PolicyChecker(const Policy& policy) : policy_(policy) {}

  std::vector<PolicyFault> check() && {
    checkTenants();
    checkRequestKinds();
    checkRoutes();
    checkAdmission();
    checkOperators();
    return std::move(faults_);
  }

 private:
  using Path = std::vector<std::string>;

  void fault(Path path, std::string message) { faults_.push_back({std::move(path), std::move(message)}); }

  void checkTenants() {
    for (const auto& [id, tenant] : policy_.tenants) {
      const Path path = {"tenants", id.value()};
      checkLabels(path, tenant.labels);
      checkKeys(path, "caller_keys", tenant.caller_keys);
    }
  }

  void checkRequestKinds() {
    for (const auto& [name, kind] : policy_.request_kinds) {
      checkLabels({"request_kinds", name.value()}, kind.labels);
    }
  }

  void checkOperators() {
    for (const auto& [name, person] : policy_.operators) {
      checkKeys({"operators", name}, "keys", person.keys);
    }
  }

  void checkLabels(Path path, const Labels& labels) {
    path.emplace_back("labels");
    for (const std::string_view key : kBuiltInLabels) {
      if (labels.get(key)) {
        path.emplace_back(key);
        fault(path, "this key is built in and can't be a label");
        path.pop_back();
      }
    }
  }

  // One key must lead to one identity.
  void checkKeys(Path path, const std::string& field, const std::vector<KeyHash>& keys) {
    path.push_back(field);
    for (const KeyHash& key : keys) {
      const auto [place, inserted] = key_owners_.try_emplace(key.sha256, absl::StrCat(path[0], ".", path[1]));
      if (!inserted) {
        fault(path, absl::StrCat("a key of ", place->second, " is used again"));
      }
    }
  }

  void checkRoutes() {
    for (const auto& [name, route] : policy_.routes) {
      const Path path = {"routes", name};
      for (const GroupName& group : route.groups) {
        checkGroup(path, "groups", group);
      }
      if (route.old_path) {
        checkGroup(path, "old_path", route.old_path->group);
      }
      if (route.mirror) {
        checkGroup(path, "mirror", *route.mirror);
      }
    }
    if (faults_.empty()) {
      const auto table = routing::RouteTable::build(routeTableSpecification(policy_));
      if (!table) {
        fault({"routes"}, table.error().message);
      }
    }
  }

  void checkGroup(Path path, const std::string& field, const GroupName& group) {
    if (!policy_.groups.contains(group)) {
      path.push_back(field);
      fault(std::move(path), absl::StrCat("no group \"", group.value(), "\" in groups"));
    }
  }

  void checkAdmission() {
    const AdmissionPolicy& admission = policy_.admission;
    const double shares = admission.urgent.minimum_share + admission.standard.minimum_share +
                          admission.deferrable.minimum_share;
    if (shares >= 1) {
      fault({"admission"}, "the minimum shares of the classes must add up to less than 1");
    }
    if (admission.longest_retry_after < admission.shortest_retry_after) {
      fault({"admission", "longest_retry_after"}, "shorter than shortest_retry_after");
    }
  }

  const Policy& policy_;
  std::vector<PolicyFault> faults_;
  absl::btree_map<std::string, std::string> key_owners_;
};

}  // namespace

std::vector<PolicyFault> checkPolicy(const Policy& policy) {
  return PolicyChecker(policy).check();
}

}  // namespace quincewick::configuration
