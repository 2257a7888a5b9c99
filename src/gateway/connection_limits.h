// How many connections a gateway keeps, by its settings and by the descriptors that it may have.
#pragma once

#include <cstddef>
#include <cstdint>

#include "gateway/gateway_settings.h"

namespace quincewick::gateway {

struct ConnectionLimits {
  size_t callers = 0;  // open connections of callers and of other gateways
  size_t closing = 0;  // those whose last bytes are on their way
};

// `system_descriptors`: that the system lets the process have. The rest is for servers, peers and the store.
ConnectionLimits connectionLimits(const GatewaySettings& settings, uint64_t system_descriptors);

// The system's limit on this process's descriptors.
uint64_t systemDescriptors();

}  // namespace quincewick::gateway
