// Promises on the orders that gateways give to engines. Pure.
#pragma once

#include "history.h"

namespace quincewick::soak {

PromiseResult checkFences(const History& history);
// Timed.
PromiseResult checkOrdersApart(const History& history, const Bounds& bounds);

}  // namespace quincewick::soak
