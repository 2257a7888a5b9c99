#include "forwarding/store_history.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

absl::Time at(int64_t milliseconds) {
  return absl::UnixEpoch() + absl::Milliseconds(milliseconds);
}

StoreSign sign(uint64_t version, int64_t began, int64_t ended, std::optional<uint64_t> era = std::nullopt) {
  return {version, era, at(began), at(ended)};
}

TEST_CASE("a store whose newest version falls went back") {
  StoreHistory history;
  CHECK(history.note(sign(10, 0, 5)) == StoreFinding::kGoesOn);
  CHECK(history.note(sign(12, 10, 15)) == StoreFinding::kGoesOn);
  CHECK(history.unbrokenSince() == absl::InfinitePast());
  CHECK(history.note(sign(7, 20, 25)) == StoreFinding::kWentBack);
  CHECK(history.unbrokenSince() == at(25));
  CHECK(history.note(sign(8, 30, 35)) == StoreFinding::kGoesOn);
}

TEST_CASE("answers that overtake one another show nothing") {
  StoreHistory history;
  CHECK(history.note(sign(12, 10, 15)) == StoreFinding::kGoesOn);
  CHECK(history.note(sign(11, 9, 20)) == StoreFinding::kGoesOn);
  CHECK(history.note(sign(11, 14, 21)) == StoreFinding::kGoesOn);
}

TEST_CASE("an answer asked for before the store went back doesn't count after it") {
  StoreHistory history;
  history.note(sign(20, 0, 5));
  CHECK(history.note(sign(7, 10, 15)) == StoreFinding::kWentBack);
  CHECK(history.note(sign(21, 8, 30)) == StoreFinding::kGoesOn);
  CHECK(history.note(sign(8, 40, 45)) == StoreFinding::kGoesOn);
}

TEST_CASE("a later era begins anew, an earlier one is over") {
  StoreHistory history;
  CHECK(history.note(sign(10, 0, 5, 3)) == StoreFinding::kGoesOn);
  CHECK(history.unbrokenSince() == at(5));
  CHECK(history.note(sign(30, 10, 15, 4)) == StoreFinding::kWentBack);
  CHECK(history.era() == 4);
  CHECK(history.unbrokenSince() == at(15));
  CHECK(history.note(sign(40, 12, 20, 3)) == StoreFinding::kOutdated);
  CHECK(history.version() == 30);
  CHECK(history.unbrokenSince() == at(15));
}

// Guards against a gateway that takes no answer any more after one that named a wrong era.
TEST_CASE("an era that is lower in a later call is another one, not an outdated answer") {
  StoreHistory history;
  history.note(sign(10, 0, 5, 5));
  CHECK(history.note(sign(11, 10, 15, uint64_t{1} << 40)) == StoreFinding::kWentBack);
  CHECK(history.note(sign(12, 20, 25, 5)) == StoreFinding::kWentBack);
  CHECK(history.note(sign(13, 30, 35, 5)) == StoreFinding::kGoesOn);
  CHECK(history.era() == 5);
  CHECK(history.unbrokenSince() == at(25));
}

// Guards against leases that end over a sound store whose answers name the version of their last row.
TEST_CASE("versions show nothing where an era is told") {
  StoreHistory history;
  history.note(sign(106, 0, 5, 1));
  CHECK(history.note(sign(101, 10, 15, 1)) == StoreFinding::kGoesOn);
  CHECK(history.note(sign(100, 20, 25)) == StoreFinding::kGoesOn);
  CHECK(history.generation() == 1);
}

}  // namespace
}  // namespace quincewick::forwarding
