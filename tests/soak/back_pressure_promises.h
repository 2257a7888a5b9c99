// Promises on what back ends ask of gateways in their answers. Pure.
#pragma once

#include <vector>

#include "history.h"

namespace quincewick::soak {

// All of them are timed.
std::vector<PromiseResult> checkBackPressure(const History& history, const Bounds& bounds);

}  // namespace quincewick::soak
