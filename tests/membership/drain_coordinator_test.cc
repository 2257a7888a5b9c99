#include "membership/drain_coordinator.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace quincewick::membership {
namespace {

// Counts actions by kind.
struct Seen {
  int announced = 0;
  int unready = 0;
  int cut = 0;
  int stopped = 0;
};

void note(Seen& seen, const std::vector<DrainAction>& actions) {
  for (const DrainAction& action : actions) {
    seen.announced += std::holds_alternative<AnnounceLeaving>(action) ? 1 : 0;
    seen.unready += std::holds_alternative<BecomeUnready>(action) ? 1 : 0;
    seen.cut += std::holds_alternative<CutStreams>(action) ? 1 : 0;
    seen.stopped += std::holds_alternative<StopProcess>(action) ? 1 : 0;
  }
}

TEST_CASE("a planned stop is announced once, cuts nothing before its limit and ends only when all is done") {
  rc::prop("under any order of events", [](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
    const DrainSettings settings{absl::Seconds(3), absl::Seconds(60)};
    DrainCoordinator drain(settings);
    Seen seen;
    absl::Time now = absl::UnixEpoch();
    absl::Time requested = absl::InfiniteFuture();
    uint32_t in_flight = 0;
    for (const auto& [kind, value] : steps) {
      now += absl::Milliseconds(100 * (value % 50));
      const bool may_be_taken = now < requested + settings.announcement_period;
      RC_ASSERT(drain.admit(now).has_value() == (may_be_taken && seen.stopped == 0));
      DrainEvent event = DrainTick{};
      if (kind % 4 == 0) {
        event = StopRequested{};
        requested = std::min(requested, now);
      } else if (kind % 4 <= 2) {
        in_flight = value % 3;
        event = InFlightChanged{in_flight};
      }
      const Seen before = seen;
      note(seen, drain.handle(event, now));
      RC_ASSERT(seen.announced == (requested == absl::InfiniteFuture() ? 0 : 1));
      RC_ASSERT(seen.unready == seen.announced);
      RC_ASSERT(seen.cut == before.cut || (seen.cut == 1 && now >= requested + settings.stream_limit));
      RC_ASSERT(seen.stopped == before.stopped || (seen.stopped == 1 && in_flight == 0));
    }
    in_flight = 0;
    note(seen, drain.handle(StopRequested{}, now));
    note(seen, drain.handle(InFlightChanged{0}, now));
    note(seen, drain.handle(DrainTick{}, std::min(now + absl::Seconds(4), drain.nextWakeup())));
    RC_ASSERT(seen.stopped == 1);
  });
}

TEST_CASE("a refusal while draining says that nothing was run and another node should be asked") {
  DrainCoordinator drain(DrainSettings{});
  drain.handle(InFlightChanged{1}, absl::UnixEpoch());
  drain.handle(StopRequested{}, absl::UnixEpoch());
  const absl::Time later = absl::UnixEpoch() + absl::Seconds(3);
  const Error refusal = drain.admit(later).error();
  CHECK(refusal.code == ErrorCode::kUnavailable);
  CHECK(refusal.execution == Execution::kNotRun);
}

}  // namespace
}  // namespace quincewick::membership
