#include "gateway/connection_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

#include "reactor/closing_connections.h"

namespace quincewick::gateway {

ConnectionLimits connectionLimits(const GatewaySettings& settings, uint64_t system_descriptors) {
  const uint64_t descriptors = std::min<uint64_t>(
      settings.descriptors == 0 ? std::numeric_limits<uint64_t>::max() : settings.descriptors,
      system_descriptors);
  ConnectionLimits limits;
  limits.callers = std::min<uint64_t>(settings.connections_at_most, descriptors / 4 * 3);
  limits.closing = std::min<uint64_t>(reactor::ClosingConnections::kMaxConnections, descriptors / 8);
  return limits;
}

uint64_t systemDescriptors() {
  rlimit limit{};
  const bool is_known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return is_known ? limit.rlim_cur : std::numeric_limits<uint64_t>::max();
}

}  // namespace quincewick::gateway
