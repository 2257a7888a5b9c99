// Checks that the parts of a policy fit together.
#pragma once

#include <string>
#include <vector>

#include "configuration/policy.h"

namespace quincewick::configuration {

// A fault between parts that are each well formed.
struct PolicyFault {
  std::vector<std::string> path;  // keys from the top down
  std::string message;
};

// Lists what is wrong, in the order of the policy. An empty list means that the policy may be put in force.
std::vector<PolicyFault> checkPolicy(const Policy& policy);

}  // namespace quincewick::configuration
