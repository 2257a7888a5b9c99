// Promises on the weights that requests begin under. No I/O.
#pragma once

#include "history.h"

namespace quincewick::soak {

// Time counts from the naming of a newer version, and anew after each disturbance of the store, of the
// engines or of the gateway that sent the request.
PromiseResult checkWeightsInForce(const History& history, const Bounds& bounds);

}  // namespace quincewick::soak
