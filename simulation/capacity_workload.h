// A workload of the size to design for: many tenants of unequal size, four models, nested beginnings.
#pragma once

#include <cstdint>

#include "loadgen/workload.h"

namespace quincewick::simulation {

// Returns the workload with that many tenants (at least 1). Answers are 264 tokens long on average, so that
// 11,000 requests a second generate 2.9 million tokens a second.
loadgen::Workload capacityWorkload(uint32_t tenants);

}  // namespace quincewick::simulation
