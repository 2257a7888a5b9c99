#include "staged_rollout/rollout_state_machine.h"

#include <catch2/catch.hpp>

namespace quincewick::staged_rollout {
namespace {

const ServiceName kPool("pool");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");
const RolloutMachineSettings kSettings;
constexpr absl::Duration kAsked = absl::Seconds(100);

OperatorRequestRow asks(const SoftwareVersion& target, absl::Duration allowed, uint64_t row = 10,
                        absl::Duration seen = kAsked) {
  return {{kPool, target, allowed}, row, false, seen};
}

RolloutInputs at(absl::Duration clock, const OperatorRequestRow& row) {
  RolloutInputs inputs;
  inputs.clock = clock;
  inputs.operators_row = row;
  return inputs;
}

RolloutRecord begun(absl::Duration allowed = absl::Seconds(12)) {
  const auto next = nextTransition(initialRecord(kPool, kOld), at(kAsked, asks(kNew, allowed)), kSettings);
  REQUIRE(next.has_value());
  return next->record;
}

// Plays the course in steps of a tenth of a second until that time.
RolloutRecord play(RolloutRecord record, RolloutInputs inputs, absl::Duration until) {
  for (; inputs.clock <= until; inputs.clock += absl::Milliseconds(100)) {
    if (const auto next = nextTransition(record, inputs, kSettings)) {
      record = next->record;
    }
  }
  return record;
}

TEST_CASE("a request begins to be watched, and the operator is told that it runs") {
  const RolloutRecord record = begun();
  CHECK(record.stage == RolloutStage::kWatching);
  CHECK(record.base == kOld);
  CHECK(record.target == kNew);
  CHECK(record.deadline == kAsked + absl::Seconds(12));
  REQUIRE(statusOf(record).has_value());
  CHECK(statusOf(record)->state == forwarding::RolloutState::kRunning);
  CHECK_FALSE(statusOf(initialRecord(kPool, kOld)).has_value());
}

TEST_CASE("a good version is watched long, then moved to step by step and completed before its deadline") {
  RolloutInputs inputs = at(kAsked, asks(kNew, absl::Seconds(12)));
  inputs.verdict = Verdict::kGood;
  inputs.have_reachable_confirmed = true;
  const RolloutRecord watched = play(begun(), inputs, kAsked + absl::Seconds(6));
  CHECK(watched.stage == RolloutStage::kWatching);
  const RolloutRecord ended = play(begun(), inputs, kAsked + absl::Seconds(11));
  CHECK(ended.stage == RolloutStage::kCompleted);
  CHECK(ended.base == kNew);
}

TEST_CASE("completed waits for all that are heard, and for what silent gateways may know") {
  RolloutInputs inputs = at(kAsked, asks(kNew, absl::Seconds(12)));
  inputs.verdict = Verdict::kGood;
  RolloutRecord finishing = play(begun(), inputs, kAsked + absl::Seconds(9));
  REQUIRE(finishing.stage == RolloutStage::kFinishing);
  CHECK(play(finishing, inputs, kAsked + absl::Seconds(20)) == finishing);
  inputs.have_reachable_confirmed = true;
  inputs.is_any_unreachable = true;
  inputs.clock = kAsked + absl::Seconds(9);
  const RolloutRecord ended = play(finishing, inputs, kAsked + absl::Seconds(20));
  REQUIRE(ended.stage == RolloutStage::kCompleted);
  // What silent ones know ran out, and what they had under way ended.
  const absl::Duration unreachable_stopped = std::max(finishing.base_until, finishing.stage_began);
  CHECK(ended.stage_began >= unreachable_stopped + absl::Seconds(2));
  CHECK(ended.stage_began <= finishing.deadline + absl::Seconds(1));
}

TEST_CASE("a bad version is rolled back at whatever stage it is found out") {
  for (const RolloutStage stage :
       {RolloutStage::kWatching, RolloutStage::kMoving, RolloutStage::kFinishing}) {
    RolloutRecord record = begun();
    record.stage = stage;
    RolloutInputs inputs = at(kAsked + absl::Seconds(3), asks(kNew, absl::Seconds(12)));
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

TEST_CASE("what can't be judged in its time is rolled back, never completed") {
  const RolloutInputs open = at(kAsked, asks(kNew, absl::Seconds(12)));
  CHECK(play(begun(), open, kAsked + absl::Seconds(13)).stage == RolloutStage::kRolledBack);
}

TEST_CASE("too short a time ends in a roll-back at once") {
  CHECK(begun(absl::Seconds(3)).stage == RolloutStage::kRolledBack);
  CHECK(begun(absl::ZeroDuration()).stage == RolloutStage::kRolledBack);
}

TEST_CASE("a request that comes again goes on, with the later deadline") {
  const RolloutRecord record = begun();
  const absl::Duration later = kAsked + absl::Seconds(4);
  const auto next = nextTransition(record, at(later, asks(kNew, absl::Seconds(12), 11, later)), kSettings);
  REQUIRE(next.has_value());
  CHECK(next->record.stage == RolloutStage::kWatching);
  CHECK(next->record.began == record.began);
  CHECK(next->record.deadline == later + absl::Seconds(12));
}

TEST_CASE("another target takes the place of the one that runs, with the same base") {
  const SoftwareVersion third("v3");
  const absl::Duration later = kAsked + absl::Seconds(4);
  const auto next = nextTransition(begun(), at(later, asks(third, absl::Seconds(12), 11, later)), kSettings);
  REQUIRE(next.has_value());
  CHECK(next->record.stage == RolloutStage::kWatching);
  CHECK(next->record.base == kOld);
  CHECK(next->record.target == third);
  CHECK(next->record.bad_responses == 0);
}

TEST_CASE("a request that is taken back, by its row's end or by naming the base, is rolled back") {
  OperatorRequestRow gone = asks(kNew, absl::Seconds(12), 11);
  gone.is_gone = true;
  for (const OperatorRequestRow& row : {gone, asks(kOld, absl::Seconds(12), 11)}) {
    const auto next = nextTransition(begun(), at(kAsked + absl::Seconds(1), row), kSettings);
    REQUIRE(next.has_value());
    CHECK(next->record.stage == RolloutStage::kRolledBack);
    CHECK(next->record.target == kNew);
    CHECK_FALSE(nextTransition(next->record, at(kAsked + absl::Seconds(2), row), kSettings).has_value());
  }
}

TEST_CASE("a version that all traffic goes to already is completed at once") {
  const auto next =
      nextTransition(initialRecord(kPool, kOld), at(kAsked, asks(kOld, absl::Seconds(12))), kSettings);
  REQUIRE(next.has_value());
  CHECK(next->record.stage == RolloutStage::kCompleted);
  CHECK(next->record.base == kOld);
}

TEST_CASE("whoever takes over in the middle goes on where the record stands") {
  RolloutInputs good = at(kAsked, asks(kNew, absl::Seconds(12)));
  good.verdict = Verdict::kGood;
  good.have_reachable_confirmed = true;
  // Nobody decides for two seconds, at whatever moment.
  for (int gap = 0; gap < 70; gap += 7) {
    const absl::Duration gap_begins = kAsked + absl::Milliseconds(100) * gap;
    const RolloutRecord before = play(begun(), good, gap_begins);
    RolloutInputs after = good;
    after.clock = gap_begins + absl::Seconds(2);
    CHECK(play(before, after, kAsked + absl::Seconds(12)).stage == RolloutStage::kCompleted);
  }
}

}  // namespace
}  // namespace quincewick::staged_rollout
