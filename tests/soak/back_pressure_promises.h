// Checks that gateways follow the back pressure that back ends report in their responses. No I/O.
#pragma once

#include <vector>

#include "history.h"

namespace quincewick::soak {

// Doesn't depend on timing.
PromiseResult checkRejections(const History& history, const Bounds& bounds);
// All of these checks depend on timing.
std::vector<PromiseResult> checkBackPressure(const History& history, const Bounds& bounds);

}  // namespace quincewick::soak
