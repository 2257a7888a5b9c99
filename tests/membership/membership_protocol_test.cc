#include "membership/membership_protocol.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "tests/membership/virtual_site.h"

namespace quincewick::membership::testing {
namespace {

using quincewick::testing::NetworkFaults;

// How long a site may take to agree with the truth after the last fault: detection, suspicion at its longest,
// and a zone's silence.
constexpr absl::Duration kSettleTime = absl::Seconds(60);
constexpr absl::Duration kLongestDelay = absl::Milliseconds(60);

std::unique_ptr<VirtualSite> startedSite(uint32_t zones, uint32_t nodes_per_zone, uint64_t seed) {
  auto site = std::make_unique<VirtualSite>(zones, nodes_per_zone, seed);
  site->listAll();
  site->startAll();
  return site;
}

// Counts what nodes come to believe from now on.
struct BeliefCount {
  explicit BeliefCount(VirtualSite& site) {
    site.setObserver([this](const NodeId& node, const MembershipAction& action) {
      if (const auto* change = std::get_if<MemberChanged>(&action)) {
        failures += change->record.state == MemberState::kFailed ? 1 : 0;
        suspicions += change->record.state == MemberState::kSuspect ? 1 : 0;
      }
      if (const auto* change = std::get_if<ZoneReachabilityChanged>(&action)) {
        if (!change->reachable) {
          ++lost_zones[node];
        }
      }
    });
  }
  int failures = 0;
  int suspicions = 0;
  std::map<NodeId, int> lost_zones;
};

// Watches what must hold at every moment, whatever happens.
struct Watch {
  explicit Watch(VirtualSite& site) {
    site.setObserver([this](const NodeId& node, const MembershipAction& action) {
      if (const auto* change = std::get_if<MemberChanged>(&action)) {
        observe(node, change->record);
      }
    });
  }
  void observe(const NodeId& viewer, const MemberRecord& record) {
    const bool leaving = record.state == MemberState::kLeaving || record.state == MemberState::kLeft;
    Incarnation& left = left_as[{viewer, record.id}];
    if (leaving) {
      left = std::max(left, record.incarnation);
    } else if (record.state != MemberState::kFailed && left == record.incarnation && left != Incarnation()) {
      violation = viewer.value() + " saw " + record.id.value() + " come back after it left";
    }
  }
  std::map<std::pair<NodeId, NodeId>, Incarnation> left_as;
  std::string violation;
};

enum class Fault { kCrash, kStart, kPause, kResume, kLeave, kCutZone, kCutRack, kHeal, kPlatform };

struct Step {
  Fault fault = Fault::kHeal;
  uint32_t node = 0;
  uint32_t seconds = 0;  // that pass after it
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{fault " << static_cast<int>(step.fault) << ", node " << step.node << ", " << step.seconds
             << " s}";
}

rc::Gen<Step> anyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::fault,
                   rc::gen::map(rc::gen::inRange(0, 9), [](int value) { return Fault(value); })),
      rc::gen::set(&Step::node, rc::gen::inRange<uint32_t>(0, 1000)),
      rc::gen::set(&Step::seconds, rc::gen::inRange<uint32_t>(0, 20)));
}

void apply(VirtualSite& site, const Step& step) {
  const std::vector<NodeId> ids = site.ids();
  const NodeId id = ids[step.node % ids.size()];
  const bool runs = site.isRunning(id);
  if (step.fault == Fault::kCrash && runs) {
    site.crash(id);
  } else if (step.fault == Fault::kStart) {
    site.start(id);  // of a running node: an instant restart
  } else if (step.fault == Fault::kPause && runs) {
    site.pause(id);
  } else if (step.fault == Fault::kResume && runs && site.isPaused(id)) {
    site.resume(id);
  } else if (step.fault == Fault::kLeave && runs) {
    site.handle(id, LeaveRequested{});
  } else if (step.fault == Fault::kCutZone) {
    site.cutZones({ZoneName("zone-" + std::to_string(step.node % 3))});
  } else if (step.fault == Fault::kCutRack) {
    site.cutNodes({id, ids[(step.node + 3) % ids.size()]});
  } else if (step.fault == Fault::kHeal) {
    site.cutZones({});
    site.cutNodes({});
  } else if (step.fault == Fault::kPlatform) {
    site.setPlatformUp(step.node % 2 == 0);
  }
}

void endFaults(VirtualSite& site) {
  site.cutNodes({});
  site.setPlatformUp(true);
  for (const NodeId& id : site.ids()) {
    if (site.isRunning(id) && site.isPaused(id)) {
      site.resume(id);
    }
  }
}

TEST_CASE("after any faults all live nodes that can talk agree on who lives") {
  rc::prop("the views converge", [](uint64_t seed) {
    VirtualSite site(3, 4, seed);
    site.listAll();
    site.listGhost("ghost", 1);
    const Watch watch(site);
    site.network().setFaults({0.01 * *rc::gen::inRange(0, 11), 0.05, absl::Microseconds(200), kLongestDelay});
    site.startAll();
    const auto steps = *rc::gen::resize(12, rc::gen::container<std::vector<Step>>(anyStep()));
    for (const Step& step : steps) {
      apply(site, step);
      site.network().runFor(absl::Seconds(step.seconds));
    }
    endFaults(site);
    site.network().setFaults({0.01, 0.05, absl::Microseconds(200), kLongestDelay});
    RC_ASSERT(site.settle(kSettleTime) == "");
    site.cutZones({});
    RC_ASSERT(site.settle(kSettleTime) == "");
    RC_ASSERT(watch.violation == "");
    RC_ASSERT(site.network().largestDatagram() <= kMaximumMessageSize);
  });
}

TEST_CASE("a herd of starting nodes finds itself, and a newcomer that the list misses is found") {
  auto site = startedSite(3, 4, 1);
  REQUIRE(site->settle(absl::Seconds(10)) == "");
  const NodeId unlisted = site->addPlace(2);
  site->start(unlisted);
  REQUIRE(site->settle(absl::Seconds(10)) == "");
}

TEST_CASE("more zones than one message can tell of are all reached, and stay so") {
  auto site = startedSite(36, 3, 9);
  REQUIRE(site->settle(kSettleTime) == "");
  BeliefCount beliefs(*site);
  site->network().runFor(absl::Minutes(1));
  CHECK(beliefs.lost_zones.empty());
}

TEST_CASE("a restarted herd finds itself again while the platform is down only if somebody is known") {
  auto site = startedSite(2, 5, 2);
  REQUIRE(site->settle(kSettleTime) == "");
  site->setPlatformUp(false);
  site->start(NodeId("node-1"));  // knows nobody, but its peers know it and call
  REQUIRE(site->settle(kSettleTime) == "");
  site->startAll();
  site->network().runFor(absl::Seconds(30));
  CHECK(site->complaint() != "");  // nobody knows anybody
  site->setPlatformUp(true);
  REQUIRE(site->settle(kSettleTime) == "");
}

TEST_CASE("at 5 % loss a healthy site declares nobody failed") {
  auto site = startedSite(2, 12, 3);
  site->network().setFaults({0.05, 0, absl::Microseconds(200), absl::Milliseconds(2)});
  REQUIRE(site->settle(kSettleTime) == "");
  BeliefCount beliefs(*site);
  site->network().runFor(absl::Minutes(5));
  CHECK(beliefs.failures == 0);
  CHECK(site->complaint() == "");
}

TEST_CASE("a frozen node declares nobody failed when it goes on, and is taken back") {
  auto site = startedSite(2, 6, 4);
  REQUIRE(site->settle(kSettleTime) == "");
  const NodeId frozen("node-3");
  site->freeze(frozen);
  REQUIRE(site->settle(kSettleTime) == "");
  BeliefCount beliefs(*site);
  site->network().runFor(absl::Seconds(20));
  site->resume(frozen);
  site->network().runFor(absl::Seconds(5));
  CHECK(site->complaint() == "");
  site->network().runFor(absl::Seconds(20));
  CHECK(beliefs.failures == 0);
  CHECK(beliefs.lost_zones[frozen] == 0);  // its own sleep is no silence of others
}

TEST_CASE("a zone split in two heals though no other zone could carry the news") {
  auto site = startedSite(1, 6, 7);
  REQUIRE(site->settle(kSettleTime) == "");
  site->cutNodes({NodeId("node-0"), NodeId("node-1"), NodeId("node-2")});
  REQUIRE(site->settle(kSettleTime) == "");
  site->network().runFor(absl::Minutes(5));
  site->cutNodes({});
  REQUIRE(site->settle(absl::Seconds(15)) == "");
}

TEST_CASE("two nodes that can't talk to each other suspect nobody while others can talk to both") {
  auto site = startedSite(1, 6, 8);
  REQUIRE(site->settle(kSettleTime) == "");
  site->cutLink(NodeId("node-2"), NodeId("node-4"));
  const BeliefCount beliefs(*site);
  site->network().runFor(absl::Minutes(5));
  CHECK(beliefs.suspicions == 0);
}

TEST_CASE("a cut-off zone goes on by itself, and nobody is declared failed for the cut") {
  auto site = startedSite(3, 4, 5);
  REQUIRE(site->settle(kSettleTime) == "");
  BeliefCount beliefs(*site);
  site->cutZones({ZoneName("zone-1")});
  REQUIRE(site->settle(absl::Seconds(15)) == "");
  site->crash(NodeId("node-5"));
  REQUIRE(site->settle(absl::Seconds(15)) == "");
  const int failures_of_crash = beliefs.failures;
  site->network().runFor(absl::Hours(1));
  CHECK(beliefs.failures == failures_of_crash);
  site->cutZones({});
  REQUIRE(site->settle(absl::Seconds(15)) == "");
}

TEST_CASE("a leaving node is sent nothing new after 3 s, at 5 % loss") {
  rc::prop("known everywhere in time", [](uint64_t seed) {
    VirtualSite site(4, 8, seed);
    site.listAll();
    site.network().setFaults({0.05, 0, absl::Microseconds(200), absl::Milliseconds(2)});
    site.startAll();
    RC_ASSERT(site.settle(kSettleTime) == "");
    const NodeId leaver = site.ids()[*rc::gen::inRange<size_t>(0, 32)];
    site.handle(leaver, LeaveRequested{});
    site.network().runFor(absl::Seconds(3));
    for (const NodeId& id : site.ids()) {
      RC_ASSERT(id == leaver || !site.protocol(id).isUsable(leaver));
    }
  });
}

TEST_CASE("payloads reach the own zone only, the newest wins, and long ones are ignored") {
  auto site = startedSite(2, 4, 6);
  REQUIRE(site->settle(kSettleTime) == "");
  const NodeId owner("node-0");
  site->handle(owner, PayloadChanged{"first"});
  site->handle(owner, PayloadChanged{"second"});
  site->handle(owner, PayloadChanged{std::string(kMaximumPayloadSize + 1, 'x')});
  site->network().runFor(absl::Seconds(3));
  for (const NodeId& id : site->ids()) {
    const bool same_zone = site->protocol(id).self().zone == site->protocol(owner).self().zone;
    CHECK(site->protocol(id).find(owner)->payload.bytes == (same_zone ? "second" : ""));
  }
  site->start(owner);
  site->handle(owner, PayloadChanged{"of the second life"});
  site->network().runFor(absl::Seconds(10));
  CHECK(site->protocol(NodeId("node-1")).find(owner)->payload.bytes == "of the second life");
}

}  // namespace
}  // namespace quincewick::membership::testing
