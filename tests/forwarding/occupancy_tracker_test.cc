#include "forwarding/occupancy_tracker.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace quincewick::forwarding {
namespace {

const absl::Time kNow = absl::UnixEpoch();

TEST_CASE("what gateways reserved and didn't release is in hand, whatever is told twice or unasked") {
  CHECK(rc::check([] {
    OccupancyTracker books;
    std::map<uint64_t, uint64_t> reserved;  // number to tokens that are not read yet
    for (int step = 0; step < 60; ++step) {
      const uint64_t number = *rc::gen::inRange(0, 12);
      const OccupancyTracker::ReservationId name = {7, NodeId("g"), number};
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          books.reserve(name, 100 + number, false, kNow);
          reserved.try_emplace(number, 100 + number);
          break;
        case 1:
          books.notePrefillDone(name, kNow);
          if (reserved.contains(number)) {
            reserved[number] = 0;
          }
          break;
        default:
          books.release(name, absl::ZeroDuration(), kNow);
          reserved.erase(number);
      }
      uint64_t tokens = 0;
      for (const auto& [unread, left] : reserved) {
        tokens += left;
      }
      RC_ASSERT(books.at(7, kNow).running == reserved.size());
      RC_ASSERT(books.at(7, kNow).prefill_tokens == tokens);
      RC_ASSERT(books.at(8, kNow).running == 0U);
    }
  }));
}

TEST_CASE("gateways' numbers are their own") {
  OccupancyTracker books;
  books.reserve({7, NodeId("a"), 1}, 10, false, kNow);
  books.reserve({7, NodeId("b"), 1}, 20, false, kNow);
  CHECK(books.at(7, kNow).running == 2);
  books.release({7, NodeId("a"), 1}, absl::ZeroDuration(), kNow);
  CHECK(books.at(7, kNow).prefill_tokens == 20);
}

TEST_CASE("what a dead gateway reserved lapses") {
  OccupancyTracker books;
  books.reserve({7, NodeId("dead"), 1}, 10, false, kNow);
  CHECK(books.at(7, kNow + absl::Seconds(14)).running == 1);
  CHECK(books.at(7, kNow + absl::Seconds(16)).running == 0);
  CHECK(books.at(7, kNow + absl::Seconds(16)).prefill_tokens == 0);
}

TEST_CASE("books are complete once they were kept for as long as requests take") {
  OccupancyTracker books;
  CHECK_FALSE(books.isFullyObserved(7, kNow));
  books.reserve({7, NodeId("a"), 1}, 10, false, kNow);
  CHECK_FALSE(books.isFullyObserved(7, kNow + absl::Seconds(3)));
  CHECK(books.isFullyObserved(7, kNow + absl::Seconds(4)));
}

}  // namespace
}  // namespace quincewick::forwarding
