#include "forwarding/store_history.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

absl::Time at(int64_t milliseconds) {
  return absl::UnixEpoch() + absl::Milliseconds(milliseconds);
}

StoreObservation observation(uint64_t version, int64_t began, int64_t ended,
                             std::optional<uint64_t> era = std::nullopt) {
  return {version, era, at(began), at(ended)};
}

TEST_CASE("a store whose newest version decreases was reverted") {
  StoreHistory history;
  CHECK(history.note(observation(10, 0, 5)) == StoreContinuity::kContinuous);
  CHECK(history.note(observation(12, 10, 15)) == StoreContinuity::kContinuous);
  CHECK(history.continuousSince() == absl::InfinitePast());
  CHECK(history.note(observation(7, 20, 25)) == StoreContinuity::kReverted);
  CHECK(history.continuousSince() == at(25));
  CHECK(history.note(observation(8, 30, 35)) == StoreContinuity::kContinuous);
}

TEST_CASE("responses that arrive out of order do not show a reversion") {
  StoreHistory history;
  CHECK(history.note(observation(12, 10, 15)) == StoreContinuity::kContinuous);
  CHECK(history.note(observation(11, 9, 20)) == StoreContinuity::kContinuous);
  CHECK(history.note(observation(11, 14, 21)) == StoreContinuity::kContinuous);
}

TEST_CASE("a response to a request from before the reversion is not counted after it") {
  StoreHistory history;
  history.note(observation(20, 0, 5));
  CHECK(history.note(observation(7, 10, 15)) == StoreContinuity::kReverted);
  CHECK(history.note(observation(21, 8, 30)) == StoreContinuity::kContinuous);
  CHECK(history.note(observation(8, 40, 45)) == StoreContinuity::kContinuous);
}

TEST_CASE("a later era resets the history, and responses of an earlier one are outdated") {
  StoreHistory history;
  CHECK(history.note(observation(10, 0, 5, 3)) == StoreContinuity::kContinuous);
  CHECK(history.continuousSince() == at(5));
  CHECK(history.note(observation(30, 10, 15, 4)) == StoreContinuity::kReverted);
  CHECK(history.era() == 4);
  CHECK(history.continuousSince() == at(15));
  CHECK(history.note(observation(40, 12, 20, 3)) == StoreContinuity::kOutdated);
  CHECK(history.version() == 30);
  CHECK(history.continuousSince() == at(15));
}

// Guards against a gateway that rejects all responses after one with a wrong, too high era.
TEST_CASE("a lower era in a later call is a new era, not an outdated response") {
  StoreHistory history;
  history.note(observation(10, 0, 5, 5));
  CHECK(history.note(observation(11, 10, 15, uint64_t{1} << 40)) == StoreContinuity::kReverted);
  CHECK(history.note(observation(12, 20, 25, 5)) == StoreContinuity::kReverted);
  CHECK(history.note(observation(13, 30, 35, 5)) == StoreContinuity::kContinuous);
  CHECK(history.era() == 5);
  CHECK(history.continuousSince() == at(25));
}

// Guards against leases that are lost although the store is sound, because its responses contain the version
// of their last row.
TEST_CASE("versions do not show a reversion if an era is reported") {
  StoreHistory history;
  history.note(observation(106, 0, 5, 1));
  CHECK(history.note(observation(101, 10, 15, 1)) == StoreContinuity::kContinuous);
  CHECK(history.note(observation(100, 20, 25)) == StoreContinuity::kContinuous);
  CHECK(history.generation() == 1);
}

}  // namespace
}  // namespace quincewick::forwarding
