// Operator actions on a node, grouped by the role that they require.
#pragma once

#include <cstdint>

namespace quincewick {

enum class OperatorAction : uint8_t {
  kRead,             // read policy, status and explanations
  kControl,          // drain, resume, roll out
  kChangePolicy,     // change anything but operators
  kChangeOperators,  // change operators and their keys
};

}  // namespace quincewick
