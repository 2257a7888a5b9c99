#include "forwarding/start_limit.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

StartTerms terms(absl::Duration deadline, absl::Duration begin_by) {
  return {kNow, kNow + deadline, kNow + begin_by};
}

// Of requests that waited and ran for so long.
EngineWaits waitsOf(absl::Duration wait, absl::Duration run) {
  EngineWaits waits;
  for (int count = 0; count < 100; ++count) {
    waits.noteBegun(wait, false);
    waits.noteRun(run);
  }
  return waits;
}

TEST_CASE("an engine's deadline ends with its weights' bound if requests rather wait than run") {
  const EngineWaits crowded = waitsOf(absl::Seconds(2), absl::Seconds(1));
  const absl::Time ends = deadlineAtEngine(terms(absl::Seconds(15), absl::Seconds(7)), crowded);
  CHECK(ends < kNow + absl::Seconds(7));
  CHECK(ends > kNow + absl::Seconds(6));
  CHECK(deadlineAtEngine(terms(absl::Seconds(5), absl::Seconds(7)), crowded) == kNow + absl::Seconds(5));
  CHECK(deadlineAtEngine(terms(absl::Seconds(15), absl::InfiniteDuration()), crowded) ==
        kNow + absl::Seconds(15));
}

// Guards against streams that are cut at their engine's deadline while they run: 114 of 8,000 on one of the
// users' days.
TEST_CASE("an engine's deadline doesn't end before the request's own if requests rather run than wait") {
  const EngineWaits calm = waitsOf(absl::Milliseconds(100), absl::Seconds(1));
  CHECK(deadlineAtEngine(terms(absl::Seconds(15), absl::Seconds(7)), calm) == kNow + absl::Seconds(15));
}

TEST_CASE("the deadline of a request that doesn't show its begin always ends with the bound") {
  StartTerms whole = terms(absl::Seconds(15), absl::Seconds(1));
  whole.shows_begin = false;
  CHECK(deadlineAtEngine(whole, waitsOf(absl::Milliseconds(100), absl::Seconds(1))) <
        kNow + absl::Seconds(1));
}

TEST_CASE("a request that has not begun is withdrawn after its engine could refuse it") {
  const absl::Time bound = kNow + absl::Seconds(4);
  const absl::Time next = nextStartCheck(kNow, bound);
  CHECK(next > bound);
  CHECK_FALSE(isStartOverdue(bound, bound));
  CHECK(isStartOverdue(next, bound));
  CHECK_FALSE(isStartOverdue(next, absl::InfiniteFuture()));
}

TEST_CASE("the expected wait follows what requests waited, apart for those that yield") {
  constexpr absl::Duration in_force = absl::Seconds(8);
  EngineWaits waits;
  for (int count = 0; count < 50; ++count) {
    waits.noteBegun(absl::Seconds(2), false);
    waits.noteBegun(absl::Seconds(9), true);
  }
  CHECK(waits.expected(false, in_force) >= absl::Seconds(2));
  CHECK(waits.expected(false, in_force) < absl::Seconds(3));
  CHECK(waits.expected(true, in_force) == in_force / 2);
  for (int count = 0; count < 100; ++count) {
    waits.noteBegun(absl::Milliseconds(20), false);
  }
  CHECK(waits.expected(false, in_force) < absl::Milliseconds(500));
}

}  // namespace
}  // namespace quincewick::forwarding
