#include "staged_rollout/rollout_state_machine.h"

#include <catch2/catch.hpp>

namespace quincewick::staged_rollout {
namespace {

const ServiceName kPool("pool");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");
const RolloutMachineSettings kSettings;
constexpr absl::Duration kRequestTime = absl::Seconds(100);

OperatorRequestRow requestFor(const SoftwareVersion& target, absl::Duration allowed, uint64_t row = 10,
                              absl::Duration seen = kRequestTime) {
  return {{kPool, target, allowed}, row, false, seen};
}

RolloutInputs at(absl::Duration clock, const OperatorRequestRow& row) {
  RolloutInputs inputs;
  inputs.clock = clock;
  inputs.operators_row = row;
  return inputs;
}

RolloutRecord startedRollout(absl::Duration allowed = absl::Seconds(12)) {
  const auto next =
      nextTransition(initialRecord(kPool, kOld), at(kRequestTime, requestFor(kNew, allowed)), kSettings);
  REQUIRE(next.has_value());
  return next->record;
}

// Runs the state machine in steps of 100 ms until that time.
RolloutRecord play(RolloutRecord record, RolloutInputs inputs, absl::Duration until) {
  for (; inputs.clock <= until; inputs.clock += absl::Milliseconds(100)) {
    if (const auto next = nextTransition(record, inputs, kSettings)) {
      record = next->record;
    }
  }
  return record;
}

TEST_CASE("a rollout starts in the watching stage, and its status is running") {
  const RolloutRecord record = startedRollout();
  CHECK(record.stage == RolloutStage::kWatching);
  CHECK(record.base == kOld);
  CHECK(record.target == kNew);
  CHECK(record.deadline == kRequestTime + absl::Seconds(12));
  REQUIRE(statusOf(record).has_value());
  CHECK(statusOf(record)->state == forwarding::RolloutState::kRunning);
  CHECK_FALSE(statusOf(initialRecord(kPool, kOld)).has_value());
}

TEST_CASE(
    "a good version is watched, then gets its share step by step and is completed before the deadline") {
  RolloutInputs inputs = at(kRequestTime, requestFor(kNew, absl::Seconds(12)));
  inputs.verdict = Verdict::kGood;
  inputs.have_reachable_confirmed = true;
  const RolloutRecord watched = play(startedRollout(), inputs, kRequestTime + absl::Seconds(6));
  CHECK(watched.stage == RolloutStage::kWatching);
  const RolloutRecord ended = play(startedRollout(), inputs, kRequestTime + absl::Seconds(11));
  CHECK(ended.stage == RolloutStage::kCompleted);
  CHECK(ended.base == kNew);
}

TEST_CASE(
    "completion waits for all reachable gateways, and until the last updates of unreachable ones expire") {
  RolloutInputs inputs = at(kRequestTime, requestFor(kNew, absl::Seconds(12)));
  inputs.verdict = Verdict::kGood;
  RolloutRecord finishing = play(startedRollout(), inputs, kRequestTime + absl::Seconds(9));
  REQUIRE(finishing.stage == RolloutStage::kFinishing);
  CHECK(play(finishing, inputs, kRequestTime + absl::Seconds(20)) == finishing);
  inputs.have_reachable_confirmed = true;
  inputs.is_any_unreachable = true;
  inputs.clock = kRequestTime + absl::Seconds(9);
  const RolloutRecord ended = play(finishing, inputs, kRequestTime + absl::Seconds(20));
  REQUIRE(ended.stage == RolloutStage::kCompleted);
  // Updates of unreachable gateways have expired, and their in-flight requests have ended.
  const absl::Duration unreachable_stopped = std::max(finishing.base_until, finishing.stage_began);
  CHECK(ended.stage_began >= unreachable_stopped + absl::Seconds(2));
  CHECK(ended.stage_began <= finishing.deadline + absl::Seconds(1));
}

TEST_CASE("a bad version is rolled back from any running stage") {
  for (const RolloutStage stage :
       {RolloutStage::kWatching, RolloutStage::kMoving, RolloutStage::kFinishing}) {
    RolloutRecord record = startedRollout();
    record.stage = stage;
    RolloutInputs inputs = at(kRequestTime + absl::Seconds(3), requestFor(kNew, absl::Seconds(12)));
    inputs.verdict = Verdict::kBad;
    inputs.bad_responses = 20;
    const auto next = nextTransition(record, inputs, kSettings);
    REQUIRE(next.has_value());
    CHECK(next->record.stage == RolloutStage::kRolledBack);
    CHECK(next->record.base == kOld);
    CHECK(next->record.bad_responses == 20);
    CHECK(statusOf(next->record)->state == forwarding::RolloutState::kRolledBack);
    CHECK_FALSE(nextTransition(next->record, inputs, kSettings).has_value());
  }
}

TEST_CASE("a rollout without a verdict by its deadline is rolled back, never completed") {
  const RolloutInputs open = at(kRequestTime, requestFor(kNew, absl::Seconds(12)));
  CHECK(play(startedRollout(), open, kRequestTime + absl::Seconds(13)).stage == RolloutStage::kRolledBack);
}

TEST_CASE("a rollout with too little time is rolled back at once") {
  CHECK(startedRollout(absl::Seconds(3)).stage == RolloutStage::kRolledBack);
  CHECK(startedRollout(absl::ZeroDuration()).stage == RolloutStage::kRolledBack);
}

TEST_CASE("a repeated request continues the rollout with the later deadline") {
  const RolloutRecord record = startedRollout();
  const absl::Duration later = kRequestTime + absl::Seconds(4);
  const auto next =
      nextTransition(record, at(later, requestFor(kNew, absl::Seconds(12), 11, later)), kSettings);
  REQUIRE(next.has_value());
  CHECK(next->record.stage == RolloutStage::kWatching);
  CHECK(next->record.began == record.began);
  CHECK(next->record.deadline == later + absl::Seconds(12));
}

TEST_CASE("a request for another target replaces the running rollout and keeps the base") {
  const SoftwareVersion third("v3");
  const absl::Duration later = kRequestTime + absl::Seconds(4);
  const auto next =
      nextTransition(startedRollout(), at(later, requestFor(third, absl::Seconds(12), 11, later)), kSettings);
  REQUIRE(next.has_value());
  CHECK(next->record.stage == RolloutStage::kWatching);
  CHECK(next->record.base == kOld);
  CHECK(next->record.target == third);
  CHECK(next->record.bad_responses == 0);
}

TEST_CASE("a request that is withdrawn, by deleting its row or by naming the base, is rolled back") {
  OperatorRequestRow gone = requestFor(kNew, absl::Seconds(12), 11);
  gone.is_gone = true;
  for (const OperatorRequestRow& row : {gone, requestFor(kOld, absl::Seconds(12), 11)}) {
    const auto next = nextTransition(startedRollout(), at(kRequestTime + absl::Seconds(1), row), kSettings);
    REQUIRE(next.has_value());
    CHECK(next->record.stage == RolloutStage::kRolledBack);
    CHECK(next->record.target == kNew);
    CHECK_FALSE(
        nextTransition(next->record, at(kRequestTime + absl::Seconds(2), row), kSettings).has_value());
  }
}

TEST_CASE("a request for the version that already gets all traffic is completed at once") {
  const auto next = nextTransition(initialRecord(kPool, kOld),
                                   at(kRequestTime, requestFor(kOld, absl::Seconds(12))), kSettings);
  REQUIRE(next.has_value());
  CHECK(next->record.stage == RolloutStage::kCompleted);
  CHECK(next->record.base == kOld);
}

TEST_CASE("a new lease holder continues from the record") {
  RolloutInputs good = at(kRequestTime, requestFor(kNew, absl::Seconds(12)));
  good.verdict = Verdict::kGood;
  good.have_reachable_confirmed = true;
  // There is no lease holder for two seconds, starting at different moments.
  for (int gap = 0; gap < 70; gap += 7) {
    const absl::Duration gap_begins = kRequestTime + absl::Milliseconds(100) * gap;
    const RolloutRecord before = play(startedRollout(), good, gap_begins);
    RolloutInputs after = good;
    after.clock = gap_begins + absl::Seconds(2);
    CHECK(play(before, after, kRequestTime + absl::Seconds(12)).stage == RolloutStage::kCompleted);
  }
}

}  // namespace
}  // namespace quincewick::staged_rollout
