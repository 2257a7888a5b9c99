// Applies back pressure that servers signal in their responses (rate limits, back-off periods, leaving), and
// records it in the log and the metrics.
#pragma once

#include <absl/time/time.h>

#include "gateway/core.h"

namespace quincewick::gateway {

// Processes the head of a server's response. `is_awaited`: it belongs to the current request. A late response
// to an earlier request may be outdated, so it lifts no limit.
void noteBackPressure(Core& core, const forwarding::Server& server, const forwarding::ResponseFacts& facts,
                      bool is_awaited, absl::Time now);

}  // namespace quincewick::gateway
