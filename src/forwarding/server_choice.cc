#include "forwarding/server_choice.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <limits>

namespace quincewick::forwarding {
namespace {

constexpr double kUnknownLatencySeconds = 0.03;
constexpr double kOtherZoneSeconds = 0.003;
constexpr double kFailureWeight = 1.0;  // one failure just now doubles the expected latency
constexpr double kTieBreak = 0.05;      // random share, so that nodes don't all choose the same server

double expectedSeconds(const Server& server, const ZoneName& own_zone, absl::Time now) {
  const double latency = server.latency_seconds > 0 ? server.latency_seconds : kUnknownLatencySeconds;
  const double slots = std::max<uint32_t>(server.entry.slots, 1);
  const double crowding = 1 + (server.running() + 1.0) / slots;
  const double distance = server.entry.zone == own_zone ? 0 : kOtherZoneSeconds;
  return latency * crowding * (1 + kFailureWeight * server.failureScore(now)) + distance;
}

}  // namespace

ServerDirectory::ServerPointer chooseServer(const std::vector<ServerDirectory::ServerPointer>& servers,
                                            const std::vector<uint64_t>& excluded, const ZoneName& own_zone,
                                            absl::Time now, absl::BitGenRef random) {
  ServerDirectory::ServerPointer best;
  double least = std::numeric_limits<double>::infinity();
  for (const auto& server : servers) {
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(), server->identity_hash) != excluded.end();
    if (is_excluded || !server->isEligible(now)) {
      continue;
    }
    const double cost =
        expectedSeconds(*server, own_zone, now) * (1 + kTieBreak * absl::Uniform(random, 0.0, 1.0));
    if (cost < least) {
      least = cost;
      best = server;
    }
  }
  return best;
}

absl::Time firstAvailableAt(const std::vector<ServerDirectory::ServerPointer>& servers, absl::Time now) {
  absl::Time first = absl::InfiniteFuture();
  for (const auto& server : servers) {
    if (server->isLeaving() || !server->is_readable) {
      continue;
    }
    const absl::Time free_at = server->back_pressure->availableAt();
    if (free_at <= now) {
      return absl::InfiniteFuture();
    }
    first = std::min(first, free_at);
  }
  return first;
}

}  // namespace quincewick::forwarding
