#include "forwarding/confirmation_schedule.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kBound = absl::Seconds(3);
constexpr absl::Duration kInstant = absl::Milliseconds(1);
const absl::Time kConfirmed = absl::UnixEpoch();

TEST_CASE("a fresh configuration needs no question") {
  const ConfirmationSchedule schedule;
  CHECK_FALSE(schedule.isDue(
      kBound, kConfirmed, [] { return true; }, kConfirmed + absl::Seconds(2) - kInstant));
}

TEST_CASE("the store is asked while there is time for an answer, whoever is heard") {
  const ConfirmationSchedule schedule;
  const absl::Time due = kConfirmed + absl::Seconds(2);
  CHECK(schedule.isDue(
      kBound, kConfirmed, [] { return true; }, due));
  CHECK(schedule.isDue(
      kBound, kConfirmed, [] { return false; }, due));
  CHECK(due + ConfirmationSchedule::confirmationTimeout(kBound) <= kConfirmed + kBound);
}

TEST_CASE("after a question without an answer the store is asked soon only if it answers somebody") {
  ConfirmationSchedule schedule;
  const absl::Time asked = kConfirmed + absl::Seconds(2);
  schedule.noteRequested(asked);
  const absl::Time soon = asked + ConfirmationSchedule::confirmationTimeout(kBound);
  CHECK_FALSE(schedule.isDue(
      kBound, kConfirmed, [] { return true; }, soon - kInstant));
  CHECK(schedule.isDue(
      kBound, kConfirmed, [] { return true; }, soon));
  CHECK_FALSE(schedule.isDue(
      kBound, kConfirmed, [] { return false; }, soon));
  CHECK_FALSE(schedule.isDue(
      kBound, kConfirmed, [] { return false; }, asked + kBound - kInstant));
  CHECK(schedule.isDue(
      kBound, kConfirmed, [] { return false; }, asked + kBound));
}

TEST_CASE("what another confirmed meanwhile needs no question") {
  ConfirmationSchedule schedule;
  schedule.noteRequested(kConfirmed + absl::Seconds(2));
  const absl::Time newer = kConfirmed + absl::Seconds(4);
  CHECK_FALSE(schedule.isDue(
      kBound, newer, [] { return true; }, newer + absl::Seconds(1)));
}

}  // namespace
}  // namespace quincewick::forwarding
