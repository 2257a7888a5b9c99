// Under overload the most urgent class of a service has the tightest latency target, so it is the first that
// is predicted to be late. That must not place it behind a less urgent class.
#include "scheduling/urgency_levels.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace quincewick::scheduling {
namespace {

TEST_CASE("a late request of the urgent class goes before every request of a less urgent one") {
  const UrgencyLevels levels({2, 0});
  CHECK(levels.levelOf(0, false) < levels.levelOf(0, true));
  CHECK(levels.levelOf(0, true) < levels.levelOf(2, false));
  CHECK(levels.levelOf(2, false) < levels.levelOf(2, true));
}

TEST_CASE("without configured urgencies late requests wait behind punctual ones") {
  const UrgencyLevels levels;
  CHECK(levels.levelOf(5, false) < levels.levelOf(5, true));
}

// Of two requests the one with priority never waits behind the other; urgencies beyond the supported levels
// may share one.
TEST_CASE("no class waits behind a less urgent one, nor a punctual request behind a late one of its class") {
  CHECK(rc::check(
      [](std::vector<uint32_t> urgencies, uint32_t one, uint32_t other, bool one_late, bool other_late) {
        urgencies.push_back(one);
        urgencies.push_back(other);
        const UrgencyLevels levels(urgencies);
        const uint32_t level_of_one = levels.levelOf(one, one_late);
        const uint32_t level_of_other = levels.levelOf(other, other_late);
        RC_ASSERT(level_of_one < UrgencyLevels::kLevels);
        if (one == other && one_late == other_late) {
          RC_ASSERT(level_of_one == level_of_other);
        }
        if (one == other && !one_late && other_late) {
          RC_ASSERT(level_of_one < level_of_other);
        }
        const bool is_within_levels = level_of_other < UrgencyLevels::kLevels - 2;
        if (one < other && is_within_levels) {
          RC_ASSERT(level_of_one < level_of_other);
        }
      }));
}

}  // namespace
}  // namespace quincewick::scheduling
