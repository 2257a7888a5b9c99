#include "schedule.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace quincewick::soak {
namespace {

TEST_CASE("a seed always gives the same schedule, which parses back from its printed text") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const Schedule schedule = drawSchedule(seed, absl::Seconds(30));
    RC_ASSERT(schedule == drawSchedule(seed, absl::Seconds(30)));
    const auto read = parseSchedule("# a comment\n" + printSchedule(schedule));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value() == schedule);
    for (const Fault& fault : schedule) {
      RC_ASSERT(fault.at + fault.duration <= absl::Seconds(30));
    }
  }));
}

TEST_CASE("every kind of fault of the default set is drawn") {
  std::set<FaultKind> kinds;
  for (uint64_t seed = 1; seed < 40; ++seed) {
    for (const Fault& fault : drawSchedule(seed, absl::Seconds(30))) {
      kinds.insert(fault.kind);
    }
  }
  const size_t first_kinds = static_cast<size_t>(FaultKind::kBackEndSendsMalformed) + 1;
  const std::set<FaultKind> later_kinds = {FaultKind::kPathReset, FaultKind::kPathRefused,
                                           FaultKind::kPathSilent, FaultKind::kBackEndBrittle};
  CHECK(kinds.size() == first_kinds + later_kinds.size());
  CHECK(std::includes(kinds.begin(), kinds.end(), later_kinds.begin(), later_kinds.end()));
}

// Existing seeds and schedules must keep producing the same faults.
TEST_CASE("drawing store restores adds their kinds and leaves the other faults unchanged") {
  std::set<FaultKind> kinds;
  for (uint64_t seed = 1; seed < 40; ++seed) {
    Schedule usual;
    for (const Fault& fault : drawSchedule(seed, absl::Seconds(30), true)) {
      const bool is_fourth_kind =
          fault.kind > FaultKind::kBackEndSendsMalformed && fault.kind <= FaultKind::kHolderRefused;
      CHECK(fault.kind != FaultKind::kKillAll);
      if (is_fourth_kind || fault.kind > FaultKind::kBackEndBrittle) {
        kinds.insert(fault.kind);
      } else {
        usual.push_back(fault);
      }
    }
    CHECK(usual == drawSchedule(seed, absl::Seconds(30)));
  }
  CHECK(kinds == std::set<FaultKind>{FaultKind::kVersionPublished, FaultKind::kStoreRestored,
                                     FaultKind::kHolderKilled, FaultKind::kHolderFrozen,
                                     FaultKind::kHolderRefused, FaultKind::kRouteStorm,
                                     FaultKind::kStoreRestoredLate});
}

TEST_CASE("a schedule with store restores parses back from its printed text") {
  const Schedule schedule = drawSchedule(1, absl::Seconds(60), true);
  const auto read = parseSchedule(printSchedule(schedule));
  REQUIRE(read.has_value());
  CHECK(read.value() == schedule);
}

TEST_CASE("a line that is no fault is rejected, and the error names it") {
  const auto read = parseSchedule("100 stop 1 300\n200 nonsense 1 300\n");
  REQUIRE(read.has_error());
  CHECK(read.error().message.find("nonsense") != std::string::npos);
}

}  // namespace
}  // namespace quincewick::soak
