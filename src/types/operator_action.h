// What an operator may ask of a node, by the role that it takes.
#pragma once

#include <cstdint>

namespace quincewick {

enum class OperatorAction : uint8_t {
  kRead,             // look at policy, status, explanations
  kControl,          // drain, resume, roll out
  kChangePolicy,     // change anything but operators
  kChangeOperators,  // change operators and their keys
};

}  // namespace quincewick
