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
