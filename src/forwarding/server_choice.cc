#include "forwarding/server_choice.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <limits>

namespace quincewick::forwarding {
namespace {

constexpr double kUnknownLatencySeconds = 0.03;  // while none is known
// An answer's time says as much of its request as of its server: one that answered a trifle is taken to be so
// many times as fast as the mean at most. Without that bound few servers got the requests of all.
constexpr double kFasterAtMost = 2;
constexpr double kOtherZoneSeconds = 0.003;
constexpr double kFailureWeight = 1.0;  // one failure just now counts as a server twice as slow
// With as many in its zone, a node weighs few of them.
constexpr size_t kFewServers = 8;
constexpr double kTieBreak = 0.05;      // random share, so that nodes don't all take the same server

// Of the servers that this node knows by their answers.
double meanLatencySeconds(const std::vector<ServerDirectory::ServerPointer>& servers) {
  double sum = 0;
  size_t known = 0;
  for (const auto& server : servers) {
    sum += server->latency_seconds;
    known += server->latency_seconds > 0 ? 1 : 0;
  }
  return known == 0 ? kUnknownLatencySeconds : sum / static_cast<double>(known);
}

double expectedSeconds(const Server& server, double mean_latency, const ZoneName& own_zone, absl::Time now) {
  const double latency = server.latency_seconds > 0
                             ? std::max(server.latency_seconds, mean_latency / kFasterAtMost)
                             : mean_latency;
  const double slots = std::max<uint32_t>(server.entry.slots, 1);
  const double crowding = 1 + (server.running() + 1.0) / slots;
  const double distance = server.entry.zone == own_zone ? 0 : kOtherZoneSeconds;
  return latency * crowding * (1 + kFailureWeight * server.failureScore(now)) + distance;
}

using Servers = std::vector<ServerDirectory::ServerPointer>;

Servers eligible(const Servers& servers, const std::vector<uint64_t>& excluded, absl::Time now) {
  Servers result;
  for (const auto& server : servers) {
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(), server->identity_hash) != excluded.end();
    if (!is_excluded && server->takesWork(now)) {
      result.push_back(server);
    }
  }
  return result;
}

// Two of the own zone's and one of the others', drawn at random: what a node of many knows of a large service is
// old and little, and if each weighed all servers, those that look best to it would get all of its requests.
Servers drawFew(const Servers& servers, const ZoneName& own_zone, absl::BitGenRef random) {
  Servers near;
  Servers far;
  for (const auto& server : servers) {
    (server->entry.zone == own_zone ? near : far).push_back(server);
  }
  if (near.size() < kFewServers) {
    return servers;
  }
  Servers drawn;
  for (const Servers* const from : {&near, &near, &far}) {
    if (!from->empty()) {
      drawn.push_back((*from)[absl::Uniform<size_t>(random, 0, from->size())]);
    }
  }
  return drawn;
}

}  // namespace

ServerDirectory::ServerPointer chooseServer(const std::vector<ServerDirectory::ServerPointer>& servers,
                                            const std::vector<uint64_t>& excluded, const ZoneName& own_zone,
                                            absl::Time now, absl::BitGenRef random) {
  const double mean_latency = meanLatencySeconds(servers);
  ServerDirectory::ServerPointer best;
  double least = std::numeric_limits<double>::infinity();
  for (const auto& server : drawFew(eligible(servers, excluded, now), own_zone, random)) {
    const double cost = expectedSeconds(*server, mean_latency, own_zone, now) *
                        (1 + kTieBreak * absl::Uniform(random, 0.0, 1.0));
    if (cost < least) {
      least = cost;
      best = server;
    }
  }
  return best;
}

}  // namespace quincewick::forwarding
