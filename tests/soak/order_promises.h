// Checks of the weight-loading orders that gateways give to engines. No I/O.
#pragma once

#include "history.h"

namespace quincewick::soak {

PromiseResult checkFences(const History& history);
// Depends on timing.
PromiseResult checkOrdersApart(const History& history, const Bounds& bounds);

}  // namespace quincewick::soak
