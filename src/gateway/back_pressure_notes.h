// Takes in what servers ask of their callers in their answers, and tells it in the log and the metrics.
#pragma once

#include <absl/time/time.h>

#include "gateway/core.h"

namespace quincewick::gateway {

// An answer's head came from the server. `is_awaited`: it is to the request under way; a late answer to an
// earlier one may be old, so it ends nothing.
void noteBackPressure(Core& core, const forwarding::Server& server, const forwarding::ResponseFacts& facts,
                      bool is_awaited, absl::Time now);

}  // namespace quincewick::gateway
