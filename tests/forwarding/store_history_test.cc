#include "forwarding/store_history.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

absl::Time at(int64_t milliseconds) {
  return absl::UnixEpoch() + absl::Milliseconds(milliseconds);
}

StoreObservation sign(uint64_t version, int64_t began, int64_t ended,
                      std::optional<uint64_t> era = std::nullopt) {
  return {version, era, at(began), at(ended)};
}

TEST_CASE("a store whose newest version falls went back") {
  StoreHistory history;
  CHECK(history.note(sign(10, 0, 5)) == StoreContinuity::kContinuous);
  CHECK(history.note(sign(12, 10, 15)) == StoreContinuity::kContinuous);
  CHECK(history.continuousSince() == absl::InfinitePast());
  CHECK(history.note(sign(7, 20, 25)) == StoreContinuity::kReverted);
  CHECK(history.continuousSince() == at(25));
  CHECK(history.note(sign(8, 30, 35)) == StoreContinuity::kContinuous);
}

TEST_CASE("answers that overtake one another show nothing") {
  StoreHistory history;
  CHECK(history.note(sign(12, 10, 15)) == StoreContinuity::kContinuous);
  CHECK(history.note(sign(11, 9, 20)) == StoreContinuity::kContinuous);
  CHECK(history.note(sign(11, 14, 21)) == StoreContinuity::kContinuous);
}

TEST_CASE("an answer asked for before the store went back doesn't count after it") {
  StoreHistory history;
  history.note(sign(20, 0, 5));
  CHECK(history.note(sign(7, 10, 15)) == StoreContinuity::kReverted);
  CHECK(history.note(sign(21, 8, 30)) == StoreContinuity::kContinuous);
  CHECK(history.note(sign(8, 40, 45)) == StoreContinuity::kContinuous);
}

TEST_CASE("a later era begins anew, an earlier one is over") {
  StoreHistory history;
  CHECK(history.note(sign(10, 0, 5, 3)) == StoreContinuity::kContinuous);
  CHECK(history.continuousSince() == at(5));
  CHECK(history.note(sign(30, 10, 15, 4)) == StoreContinuity::kReverted);
  CHECK(history.era() == 4);
  CHECK(history.continuousSince() == at(15));
  CHECK(history.note(sign(40, 12, 20, 3)) == StoreContinuity::kOutdated);
  CHECK(history.version() == 30);
  CHECK(history.continuousSince() == at(15));
}

// Guards against a gateway that takes no answer any more after one that named a wrong era.
TEST_CASE("an era that is lower in a later call is another one, not an outdated answer") {
  StoreHistory history;
  history.note(sign(10, 0, 5, 5));
  CHECK(history.note(sign(11, 10, 15, uint64_t{1} << 40)) == StoreContinuity::kReverted);
  CHECK(history.note(sign(12, 20, 25, 5)) == StoreContinuity::kReverted);
  CHECK(history.note(sign(13, 30, 35, 5)) == StoreContinuity::kContinuous);
  CHECK(history.era() == 5);
  CHECK(history.continuousSince() == at(25));
}

// Guards against leases that end over a sound store whose answers name the version of their last row.
TEST_CASE("versions show nothing where an era is told") {
  StoreHistory history;
  history.note(sign(106, 0, 5, 1));
  CHECK(history.note(sign(101, 10, 15, 1)) == StoreContinuity::kContinuous);
  CHECK(history.note(sign(100, 20, 25)) == StoreContinuity::kContinuous);
  CHECK(history.generation() == 1);
}

}  // namespace
}  // namespace quincewick::forwarding
