#include "forwarding/confirmation_schedule.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kBound = absl::Seconds(3);
constexpr absl::Duration kInstant = absl::Milliseconds(1);
const absl::Time kConfirmed = absl::UnixEpoch();

TEST_CASE("a recently confirmed configuration needs no request") {
  const ConfirmationSchedule schedule;
  CHECK_FALSE(schedule.isDue(
      kBound, kConfirmed, [] { return true; }, kConfirmed + absl::Seconds(2) - kInstant));
}

TEST_CASE("the store is asked while there is time for a response, whether or not a reader is known") {
  const ConfirmationSchedule schedule;
  const absl::Time due = kConfirmed + absl::Seconds(2);
  CHECK(schedule.isDue(
      kBound, kConfirmed, [] { return true; }, due));
  CHECK(schedule.isDue(
      kBound, kConfirmed, [] { return false; }, due));
  CHECK(due + ConfirmationSchedule::confirmationTimeout(kBound) <= kConfirmed + kBound);
}

TEST_CASE("after a request without a response the store is asked again soon only if it responds to others") {
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

TEST_CASE("a confirmation received from another gateway needs no request") {
  ConfirmationSchedule schedule;
  schedule.noteRequested(kConfirmed + absl::Seconds(2));
  const absl::Time newer = kConfirmed + absl::Seconds(4);
  CHECK_FALSE(schedule.isDue(
      kBound, newer, [] { return true; }, newer + absl::Seconds(1)));
}

}  // namespace
}  // namespace quincewick::forwarding
