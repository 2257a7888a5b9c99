// A policy as single objects, such as one tenant or one route: what is changed, compared and distributed.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "configuration/policy.h"
#include "types/strong_id.h"

namespace quincewick::configuration {

// Names an object: SECTION/NAME, such as "tenants/airport", or SECTION for what a policy has once, such as
// "admission".
using ObjectKey = StrongString<struct ObjectKeyTag>;

// Sets an object's text, or deletes the object.
struct ObjectChange {
  ObjectKey key;
  std::optional<std::string> text;  // YAML in one line

  friend bool operator==(const ObjectChange&, const ObjectChange&) = default;
};

// One object with its text.
struct PolicyObject {
  ObjectKey key;
  std::string text;

  friend bool operator==(const PolicyObject&, const PolicyObject&) = default;
};

// All objects of a policy in the order of their keys. Parts that hold their defaults are left out.
std::vector<PolicyObject> policyObjects(const Policy& policy);

// The changes that turn `from` into `to`, in the order of their keys.
std::vector<ObjectChange> policyDifference(const Policy& from, const Policy& to);

// Carries out the changes without checking how the parts fit together. Lists the changes that can't be read.
std::vector<Diagnostic> applyChanges(const std::vector<ObjectChange>& changes, Policy& policy);

// Carries out the changes and checks the whole.
Parsed<Policy> changedPolicy(Policy policy, const std::vector<ObjectChange>& changes);

}  // namespace quincewick::configuration
