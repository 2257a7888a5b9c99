#include "fleet/fleet_controller.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "tests/fleet/virtual_fleet.h"

namespace quincewick::fleet {
namespace {

constexpr WeightsVersion kTarget(2);

bool isSettled(const VirtualFleet& fleet, RolloutPhase phase, WeightsVersion version) {
  return fleet.storedRollout().phase == phase && fleet.allEnginesAt(version);
}

std::string firstOf(const std::vector<std::string>& violations) {
  return violations.empty() ? "" : violations.front();
}

TEST_CASE("a rollout reaches every engine within 15 % of the shortest time") {
  VirtualFleetSettings settings;
  settings.drain_time = absl::Milliseconds(300);
  VirtualFleet fleet(settings);
  fleet.run(absl::Seconds(5));
  REQUIRE(fleet.leader() < fleet.nodes());
  const absl::Time start = fleet.now();
  fleet.command(4, "start", StartRollout{fleet.rollout(kTarget)});
  REQUIRE(fleet.runUntil(start + absl::Minutes(1),
                         [&] { return isSettled(fleet, RolloutPhase::kDone, kTarget); }));
  const absl::Duration shortest = settings.load_time * (settings.engines / settings.maximum_loads);
  CHECK(fleet.now() - start < shortest * 1.15 + absl::Seconds(1));  // the first drain and the last look
  CHECK(firstOf(fleet.violations()).empty());
  CHECK(fleet.counters().loads == settings.engines);
  CHECK(fleet.mostLoads() == settings.maximum_loads);
  REQUIRE(fleet.answers().contains("start"));
  CHECK(fleet.answers().at("start").has_value());
}

TEST_CASE("a rollout goes back on errors, with the same limits, and says why") {
  VirtualFleet fleet(VirtualFleetSettings{});
  fleet.run(absl::Seconds(5));
  fleet.command(0, "start", StartRollout{fleet.rollout(kTarget)});
  fleet.run(absl::Seconds(2));
  fleet.reportHealth(kTarget, 20, 1);  // 120 requests in all, 5 % of them failed: within the bound
  fleet.run(absl::Milliseconds(200));
  CHECK(fleet.storedRollout().phase == RolloutPhase::kRunning);
  fleet.reportHealth(kTarget, 40, 3);
  REQUIRE(fleet.runUntil(fleet.now() + absl::Minutes(1),
                         [&] { return isSettled(fleet, RolloutPhase::kRolledBack, WeightsVersion(1)); }));
  // The first report that passes the bound is enough.
  CHECK(fleet.storedRollout().reason == "8 of 140 requests failed on version 2");
  CHECK(firstOf(fleet.violations()).empty());
}

TEST_CASE("loads that fail everywhere turn the rollout back, and no engine stays out of service") {
  VirtualFleet fleet(VirtualFleetSettings{});
  fleet.run(absl::Seconds(5));
  fleet.breakLoads(true);
  fleet.command(0, "start", StartRollout{fleet.rollout(kTarget)});
  REQUIRE(fleet.runUntil(fleet.now() + absl::Minutes(5),
                         [&] { return isSettled(fleet, RolloutPhase::kRolledBack, WeightsVersion(1)); }));
  CHECK_THAT(fleet.storedRollout().reason, Catch::StartsWith("loads failed on 3 engines"));
}

TEST_CASE("a paused rollout gives back its engines and loads nothing until it is resumed") {
  VirtualFleet fleet(VirtualFleetSettings{});
  fleet.run(absl::Seconds(5));
  fleet.command(0, "start", StartRollout{fleet.rollout(kTarget)});
  fleet.run(absl::Seconds(2));
  fleet.command(1, "pause", PauseRollout{});
  fleet.run(absl::Seconds(5));
  const uint64_t loads = fleet.counters().loads;
  CHECK(loads > 0);
  CHECK(loads < VirtualFleetSettings{}.engines);
  CHECK(fleet.controller(fleet.leader()).status(fleet.now()).progress.out == 0);
  fleet.run(absl::Seconds(30));
  CHECK(fleet.counters().loads == loads);
  fleet.command(2, "second", StartRollout{fleet.rollout(WeightsVersion(3))});
  fleet.command(3, "resume", ResumeRollout{});
  REQUIRE(fleet.runUntil(fleet.now() + absl::Minutes(1),
                         [&] { return isSettled(fleet, RolloutPhase::kDone, kTarget); }));
  CHECK(fleet.answers().at("second").error().code == ErrorCode::kConflict);
  CHECK(fleet.answers().at("resume").has_value());
}

TEST_CASE("a leaving engine is shown as leaving to every router at once, and is not loaded") {
  VirtualFleet fleet(VirtualFleetSettings{});
  fleet.run(absl::Seconds(5));
  fleet.leaveEngine(3);
  fleet.run(absl::Seconds(1));
  for (uint32_t node = 0; node < fleet.nodes(); ++node) {
    CHECK(fleet.routerView(node, 3) == BackEndState::kLeaving);
    CHECK(fleet.routerView(node, 4) == BackEndState::kReady);
  }
  fleet.command(0, "start", StartRollout{fleet.rollout(kTarget)});
  REQUIRE(fleet.runUntil(fleet.now() + absl::Minutes(1),
                         [&] { return isSettled(fleet, RolloutPhase::kDone, kTarget); }));
  CHECK(fleet.counters().loads == VirtualFleetSettings{}.engines - 1);
}

TEST_CASE("a dead engine is gone for every router within 5 s, and ready again within 3 s of its return") {
  VirtualFleet fleet(VirtualFleetSettings{});
  fleet.run(absl::Seconds(5));
  fleet.crashEngine(2, absl::Seconds(8));
  fleet.run(absl::Seconds(5));
  for (uint32_t node = 0; node < fleet.nodes(); ++node) {
    CHECK(fleet.routerView(node, 2) == BackEndState::kGone);
  }
  fleet.run(absl::Seconds(6));
  for (uint32_t node = 0; node < fleet.nodes(); ++node) {
    CHECK(fleet.routerView(node, 2) == BackEndState::kReady);
  }
}

// One fault, at a time of its own.
struct Fault {
  int kind = 0;
  uint32_t target = 0;
  absl::Duration at;
  absl::Duration length;
};

void showValue(const Fault& fault, std::ostream& out) {
  out << "{kind " << fault.kind << ", target " << fault.target << ", at " << absl::FormatDuration(fault.at)
      << ", for " << absl::FormatDuration(fault.length) << "}";
}

rc::Gen<Fault> anyFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::inRange(0, 7)),
      rc::gen::set(&Fault::target, rc::gen::inRange<uint32_t>(0, 100)),
      rc::gen::set(&Fault::at,
                   rc::gen::map(rc::gen::inRange(0, 20000),
                                [](int milliseconds) { return absl::Milliseconds(milliseconds); })),
      rc::gen::set(&Fault::length, rc::gen::map(rc::gen::inRange(100, 12000), [](int milliseconds) {
        return absl::Milliseconds(milliseconds);
      })));
}

void inject(VirtualFleet& fleet, const Fault& fault, uint32_t engines) {
  const uint32_t leader = fleet.leader();
  switch (fault.kind) {
    case 0:
      fleet.crashEngine(fault.target % engines, fault.length);
      return;
    case 1:
      fleet.crashNode(fault.target % fleet.nodes(), fault.length);
      return;
    case 2:
      if (leader < fleet.nodes()) {
        fleet.crashNode(leader, fault.length);
      }
      return;
    case 3:
      if (leader < fleet.nodes()) {
        fleet.pauseNode(leader, fault.length);
      }
      return;
    case 4:
      fleet.tableDown(fault.length);
      return;
    case 5:
      fleet.command(fault.target % fleet.nodes(), "pause", PauseRollout{});
      return;
    default:
      fleet.command(fault.target % fleet.nodes(), "resume", ResumeRollout{});
  }
}

TEST_CASE("under faults the limit, the floor and the fence hold, and the rollout ends once they cease") {
  rc::prop("any faults, twice and together", [] {
    VirtualFleetSettings settings;
    settings.engines = 12;
    settings.seed = *rc::gen::arbitrary<uint64_t>();
    settings.loss = *rc::gen::element(0.0, 0.05, 0.2);
    settings.duplication = *rc::gen::element(0.0, 0.2);
    settings.lost_table_answers = *rc::gen::element(0.0, 0.1, 0.3);
    settings.late_table_writes = *rc::gen::element(0.0, 0.05);
    settings.load_time = *rc::gen::element(absl::Milliseconds(600), absl::Seconds(8));
    settings.drain_time = *rc::gen::element(absl::ZeroDuration(), absl::Milliseconds(400), absl::Seconds(2));
    auto faults = *rc::gen::container<std::vector<Fault>>(anyFault());
    std::sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; });
    VirtualFleet fleet(settings);
    fleet.run(absl::Seconds(2));
    const absl::Time start = fleet.now();
    fleet.command(0, "start", StartRollout{fleet.rollout(kTarget)});
    for (const Fault& fault : faults) {
      fleet.runUntil(start + fault.at, [] { return false; });
      inject(fleet, fault, settings.engines);
    }
    fleet.run(absl::Seconds(15));
    if (fleet.storedRollout().model.empty()) {
      fleet.command(1, "start again", StartRollout{fleet.rollout(kTarget)});  // the first died with its node
    }
    fleet.command(1, "last resume", ResumeRollout{});
    const bool ended = fleet.runUntil(fleet.now() + absl::Minutes(5), [&] {
      const RolloutRecord record = fleet.storedRollout();
      const bool is_over = record.phase == RolloutPhase::kDone || record.phase == RolloutPhase::kRolledBack;
      return is_over && fleet.allEnginesAt(record.target);
    });
    RC_LOG() << firstOf(fleet.violations()) << "\n" << fleet.describe() << "\n";
    RC_ASSERT(fleet.violations().empty());
    RC_ASSERT(ended);
  });
}

}  // namespace
}  // namespace quincewick::fleet
