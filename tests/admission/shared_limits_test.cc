// The limit that nodes share holds over every ten seconds, whatever fails; and what is free is found.
#include "admission/shared_limits.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "tests/admission/limit_cluster.h"

namespace quincewick::admission {
namespace {

using absl::Milliseconds;
using absl::Seconds;

constexpr double kTolerance = 1.05;
constexpr absl::Duration kSpan = Seconds(10);
constexpr size_t kNodes = 6;
constexpr size_t kZones = 3;

const TenantId kTokenTenant("by tokens");
const TenantId kRequestTenant("by requests");
const TenantId kLargeTenant("large requests");

TenantLimits testLimits() {
  return TenantLimits{
      {kTokenTenant, TenantLimit{20'000, kUnlimited, kUnlimited}},
      {kRequestTenant, TenantLimit{kUnlimited, 40, kUnlimited}},
      {kLargeTenant, TenantLimit{10'000, 5, kUnlimited}},
  };
}

// Requests of all tenants at random nodes, about three times what their limits allow.
void offerLoad(LimitCluster& cluster, absl::Time end, std::mt19937_64& random, double factor = 3) {
  std::uniform_int_distribution<size_t> any_node(0, cluster.size() - 1);
  std::uniform_real_distribution<double> unit(0, 1);
  const auto offer = [&](const TenantId& tenant, double per_second, uint32_t least, uint32_t most) {
    for (absl::Time time = cluster.now; time < end;) {
      time += Seconds(-std::log(1 - unit(random)) / (per_second * factor));
      const auto tokens = static_cast<uint32_t>(least + unit(random) * (most - least));
      const size_t node = any_node(random);
      cluster.at(time, [&cluster, tenant, node, tokens] { cluster.request(node, tenant, tokens); });
    }
  };
  offer(kTokenTenant, 40, 100, 900);
  offer(kRequestTenant, 40, 1, 10);
  offer(kLargeTenant, 1, 3000, 18'000);
}

double excess(const LimitCluster& cluster, const TenantId& tenant, double per_second, bool count) {
  const auto found = cluster.usage.find(tenant);
  return found == cluster.usage.end()
             ? 0
             : mostWithin(found->second, kSpan, count) / (per_second * absl::ToDoubleSeconds(kSpan));
}

double used(const LimitCluster& cluster, const TenantId& tenant, absl::Time from, bool count) {
  double total = 0;
  for (const Usage& usage : cluster.usage.at(tenant)) {
    if (usage.time >= from) {
      total += count ? 1 : usage.tokens;
    }
  }
  return total;
}

// Schedules faults that rapidcheck picks: crashes, pauses, cuts and wrong views of the members, also several
// at once.
void scheduleFaults(LimitCluster& cluster) {
  const size_t count = *rc::gen::inRange<size_t>(1, 8);
  for (size_t index = 0; index < count; ++index) {
    const absl::Time time = cluster.now + Milliseconds(*rc::gen::inRange(0, 18'000));
    const absl::Duration duration = Milliseconds(*rc::gen::inRange(50, 12'000));
    const size_t node = *rc::gen::inRange<size_t>(0, kNodes);
    const size_t home = cluster.homeOf(kTokenTenant);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        cluster.at(time, [&cluster, node, duration] { cluster.crash(node, duration); });
        break;
      case 1:
        cluster.at(time, [&cluster, home, duration] { cluster.crash(home, duration); });
        break;
      case 2:
        cluster.at(time, [&cluster, node, duration] { cluster.pause(node, duration); });
        break;
      case 3:
        cluster.at(time, [&cluster, home, duration] { cluster.pause(home, duration); });
        break;
      case 4:
        cluster.at(time, [&cluster, node, duration] { cluster.misjudge(node % kZones, duration); });
        break;
      default:
        cluster.at(time, [&cluster, node, duration] { cluster.cut(node % kZones, duration); });
    }
  }
}

TEST_CASE("no limit is exceeded by more than 5 % over any ten seconds, whatever fails") {
  rc::prop("limits hold and each request is decided once", [] {
    LimitCluster cluster({}, kNodes, kZones, testLimits(), *rc::gen::arbitrary<uint32_t>());
    cluster.network.loss = *rc::gen::element(0.0, 0.02, 0.2);
    cluster.network.duplication = *rc::gen::element(0.0, 0.1);
    cluster.network.late_share = *rc::gen::element(0.0, 0.1);
    cluster.detection_delay = Milliseconds(*rc::gen::element(50, 3000));
    std::mt19937_64 random(*rc::gen::arbitrary<uint32_t>());
    const absl::Time end = cluster.now + Seconds(28);
    scheduleFaults(cluster);
    offerLoad(cluster, end, random, 2);
    cluster.runUntil(end + Seconds(2));
    RC_ASSERT(excess(cluster, kTokenTenant, 20'000, false) <= kTolerance);
    RC_ASSERT(excess(cluster, kRequestTenant, 40, true) <= kTolerance);
    RC_ASSERT(excess(cluster, kLargeTenant, 10'000, false) <= kTolerance);
    for (const auto& [request, decisions] : cluster.decisions) {
      RC_ASSERT(decisions <= 1);
    }
  });
}

// Guards against a debt that a home forgets by releasing its leases: the successor granted beside a request
// of 16,333 tokens that the released second had not paid, 1.105 of the limit. In the second case the home
// held a third of the rights, so that its debt outlasted a lease: 1.106.
TEST_CASE("a home that owes for a large request keeps its leases when another node becomes the home") {
  {
    LimitCluster cluster({}, kNodes, kZones, testLimits(), 7669);
    const absl::Time start = cluster.now;
    cluster.at(start + Milliseconds(6293),
               [&] { cluster.pause(cluster.homeOf(kTokenTenant), Milliseconds(7615)); });
    cluster.at(start + Milliseconds(11'065), [&] { cluster.misjudge(0, Milliseconds(4122)); });
    cluster.at(start + Milliseconds(6611), [&] { cluster.misjudge(1, Milliseconds(4960)); });
    std::mt19937_64 random(64710826);
    offerLoad(cluster, start + Seconds(28), random, 2);
    cluster.runUntil(start + Seconds(30));
    CHECK(excess(cluster, kLargeTenant, 10'000, false) <= kTolerance);
  }
  LimitCluster cluster({}, kNodes, kZones, testLimits(), 74404791);
  cluster.network.late_share = 0.1;
  cluster.detection_delay = Milliseconds(50);
  const absl::Time start = cluster.now;
  cluster.at(start + Milliseconds(11'347), [&] { cluster.crash(3, Milliseconds(860)); });
  cluster.at(start + Milliseconds(11'928), [&] { cluster.misjudge(0, Milliseconds(8024)); });
  cluster.at(start + Milliseconds(7265), [&] { cluster.pause(1, Milliseconds(927)); });
  cluster.at(start + Milliseconds(5099),
             [&] { cluster.pause(cluster.homeOf(kTokenTenant), Milliseconds(1367)); });
  cluster.at(start + Milliseconds(11'931), [&] { cluster.crash(3, Milliseconds(276)); });
  cluster.at(start + Milliseconds(7635), [&] { cluster.pause(1, Milliseconds(8853)); });
  std::mt19937_64 random(216827835);
  offerLoad(cluster, start + Seconds(28), random, 2);
  cluster.runUntil(start + Seconds(30));
  CHECK(excess(cluster, kLargeTenant, 10'000, false) <= kTolerance);
}

TEST_CASE("without faults most of the limit is used when more is wanted, and each request is decided") {
  LimitCluster cluster({}, kNodes, kZones, testLimits(), 1);
  std::mt19937_64 random(2);
  cluster.runUntil(cluster.now + Seconds(10));
  const absl::Time start = cluster.now;
  offerLoad(cluster, start + Seconds(30), random);
  cluster.runUntil(start + Seconds(32));
  CHECK(used(cluster, kTokenTenant, start, false) >= 0.9 * 30 * 20'000);
  CHECK(used(cluster, kRequestTenant, start, true) >= 0.9 * 30 * 40);
  CHECK(used(cluster, kLargeTenant, start, false) >= 0.7 * 30 * 10'000);
  for (const auto& [request, decisions] : cluster.decisions) {
    REQUIRE(decisions == 1);
  }
}

TEST_CASE("below the limit nothing is refused") {
  LimitCluster cluster({}, kNodes, kZones, testLimits(), 1);
  std::mt19937_64 random(2);
  cluster.runUntil(cluster.now + Seconds(10));
  const absl::Time start = cluster.now;
  constexpr double kHalf = 0.4;
  offerLoad(cluster, start + Seconds(30), random, kHalf);
  cluster.runUntil(start + Seconds(32));
  CHECK(static_cast<double>(cluster.refused) <= 0.02 * static_cast<double>(cluster.allowed));
}

TEST_CASE("a lost home is replaced within seconds, and a cut-off zone keeps its share") {
  LimitCluster cluster({}, kNodes, kZones, testLimits(), 1);
  std::mt19937_64 random(2);
  cluster.runUntil(cluster.now + Seconds(10));
  offerLoad(cluster, cluster.now + Seconds(60), random);
  cluster.runUntil(cluster.now + Seconds(5));
  cluster.crash(cluster.homeOf(kTokenTenant), Seconds(1000));
  cluster.runUntil(cluster.now + Seconds(7));
  const absl::Time replaced = cluster.now;
  cluster.runUntil(replaced + Seconds(10));
  // One right of six is lost with its node.
  CHECK(used(cluster, kTokenTenant, replaced, false) >= 0.9 * 10 * 20'000 * 5 / 6);
  cluster.cut(0, Seconds(100));
  cluster.runUntil(cluster.now + Seconds(10));
  const absl::Time apart = cluster.now;
  cluster.runUntil(apart + Seconds(10));
  CHECK(used(cluster, kTokenTenant, apart, false) >= 0.85 * 10 * 20'000 * 5 / 6);
}

}  // namespace
}  // namespace quincewick::admission
