// Prints the traffic of shared limits for sites of several sizes, on virtual time.
#include <cmath>
#include <cstdio>
#include <random>
#include <string>

#include "tests/admission/limit_cluster.h"

namespace quincewick::admission {
namespace {

constexpr double kRequestsPerNodeSecond = 27;  // 11,000 a second over 410 nodes
constexpr double kTenantsPerNode = 4;          // 1,600 over 410 nodes
constexpr uint32_t kTokensPerRequest = 260;    // 2.9 million a second over 11,000 requests
constexpr double kMeasuredSeconds = 10;
// IP and UDP headers and the authentication of peer messages.
constexpr double kEnvelopeBytes = 28 + 40;

struct Site {
  size_t nodes;
  size_t zones;
};

struct Leases {
  const char* name;
  absl::Duration node;
  absl::Duration zone;
  absl::Duration renewal;
};

// A tenant's number: small ones are popular, with weights falling as 1 / number.
size_t pickTenant(size_t tenants, double uniform) {
  return static_cast<size_t>(std::pow(static_cast<double>(tenants), uniform)) - 1;
}

TenantId tenantOf(size_t number) {
  return TenantId("tenant-" + std::to_string(number));
}

// Every tenant may use `headroom` times what it asks for on average, and at least a few requests a second.
TenantLimits limitsFor(size_t tenants, double requests_per_second, double headroom) {
  constexpr double kLeastRequests = 3;
  TenantLimits limits;
  for (size_t number = 0; number < tenants; ++number) {
    const double share = std::log(static_cast<double>(number + 2) / static_cast<double>(number + 1)) /
                         std::log(static_cast<double>(tenants));
    const double requests = std::max(kLeastRequests, headroom * share * requests_per_second);
    limits[tenantOf(number)] = TenantLimit{requests * kTokensPerRequest, requests, kUnlimited};
  }
  return limits;
}

void printSite(const Site& site, const Leases& leases, double load, double headroom) {
  SharedLimitConfiguration configuration;
  configuration.node_lease = leases.node;
  configuration.zone_lease = leases.zone;
  configuration.renewal_interval = leases.renewal;
  const auto tenants = static_cast<size_t>(kTenantsPerNode * static_cast<double>(site.nodes));
  const double requests_per_second = kRequestsPerNodeSecond * static_cast<double>(site.nodes);
  LimitCluster cluster(configuration, site.nodes, site.zones,
                       limitsFor(tenants, requests_per_second, headroom), 1);
  cluster.runUntil(cluster.now + absl::Seconds(15));
  std::mt19937_64 random(2);
  std::uniform_real_distribution<double> unit(0, 1);
  constexpr double kWarmUpSeconds = 5;
  const absl::Time start = cluster.now + absl::Seconds(kWarmUpSeconds);
  const absl::Time end = start + absl::Seconds(kMeasuredSeconds);
  for (absl::Time time = cluster.now; load > 0 && time < end;) {
    time += absl::Seconds(-std::log(1 - unit(random)) / (requests_per_second * load));
    const auto node = static_cast<size_t>(unit(random) * static_cast<double>(site.nodes));
    const TenantId tenant = tenantOf(pickTenant(tenants, unit(random)));
    cluster.at(time, [&cluster, node, tenant] { cluster.request(node, tenant, kTokensPerRequest); });
  }
  cluster.runUntil(start);
  const uint64_t messages = cluster.messages;
  const uint64_t bytes = cluster.bytes;
  const uint64_t allowed = cluster.allowed;
  const uint64_t refused = cluster.refused;
  cluster.messages_sent_by_node.assign(site.nodes, 0);
  cluster.bytes_sent_by_node.assign(site.nodes, 0);
  cluster.count_bytes = true;
  cluster.runUntil(end);
  const double node_seconds = kMeasuredSeconds * static_cast<double>(site.nodes);
  double most = 0;
  for (size_t node = 0; node < site.nodes; ++node) {
    const double sent = static_cast<double>(cluster.bytes_sent_by_node[node]) +
                        kEnvelopeBytes * static_cast<double>(cluster.messages_sent_by_node[node]);
    most = std::max(most, sent / kMeasuredSeconds);
  }
  const double mean_messages = static_cast<double>(cluster.messages - messages) / node_seconds;
  const double mean_bytes = static_cast<double>(cluster.bytes - bytes) / node_seconds;
  const double asked = static_cast<double>(cluster.allowed - allowed + cluster.refused - refused);
  const double refused_share = asked > 0 ? static_cast<double>(cluster.refused - refused) / asked : 0;
  std::printf("%5zu %5zu %7zu %-6s %5.2f %6.1f %11.1f %11.0f %11.0f %11.0f %7.1f%%\n", site.nodes, site.zones,
              tenants, leases.name, load, headroom, mean_messages, mean_bytes,
              mean_bytes + kEnvelopeBytes * mean_messages, most, 100 * refused_share);
}

}  // namespace
}  // namespace quincewick::admission

int main() {
  using quincewick::admission::Leases;
  using quincewick::admission::Site;
  const Leases quick{"quick", absl::Seconds(4), absl::Seconds(2), absl::Milliseconds(700)};
  const Leases slow{"slow", absl::Seconds(8), absl::Seconds(4), absl::Milliseconds(1500)};
  std::printf("%5s %5s %7s %-6s %5s %6s %11s %11s %11s %11s %8s\n", "nodes", "zones", "tenants", "leases",
              "load", "limit", "messages/s", "payload B/s", "with head.", "most node", "refused");
  for (const Site& site : {Site{12, 3}, Site{50, 4}, Site{130, 6}, Site{410, 12}}) {
    for (const Leases& leases : {quick, slow}) {
      quincewick::admission::printSite(site, leases, 0, 2);
      quincewick::admission::printSite(site, leases, 1, 2);
    }
    quincewick::admission::printSite(site, slow, 2, 1);
  }
  return 0;
}
