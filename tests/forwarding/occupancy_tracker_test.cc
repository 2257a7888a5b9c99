#include "forwarding/occupancy_tracker.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace quincewick::forwarding {
namespace {

const absl::Time kNow = absl::UnixEpoch();

TEST_CASE("the load is what was reserved and not released, even with duplicate or unexpected messages") {
  CHECK(rc::check([] {
    OccupancyTracker tracker;
    std::map<uint64_t, uint64_t> reserved;  // number to tokens not prefilled yet
    for (int step = 0; step < 60; ++step) {
      const uint64_t number = *rc::gen::inRange(0, 12);
      const OccupancyTracker::ReservationId id = {7, NodeId("g"), number};
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          tracker.reserve(id, 100 + number, false, kNow);
          reserved.try_emplace(number, 100 + number);
          break;
        case 1:
          tracker.notePrefillDone(id, kNow);
          if (reserved.contains(number)) {
            reserved[number] = 0;
          }
          break;
        default:
          tracker.release(id, absl::ZeroDuration(), kNow);
          reserved.erase(number);
      }
      uint64_t tokens = 0;
      for (const auto& [other, left] : reserved) {
        tokens += left;
      }
      RC_ASSERT(tracker.at(7, kNow).running == reserved.size());
      RC_ASSERT(tracker.at(7, kNow).prefill_tokens == tokens);
      RC_ASSERT(tracker.at(8, kNow).running == 0U);
    }
  }));
}

TEST_CASE("reservation numbers of different gateways are independent") {
  OccupancyTracker tracker;
  tracker.reserve({7, NodeId("a"), 1}, 10, false, kNow);
  tracker.reserve({7, NodeId("b"), 1}, 20, false, kNow);
  CHECK(tracker.at(7, kNow).running == 2);
  tracker.release({7, NodeId("a"), 1}, absl::ZeroDuration(), kNow);
  CHECK(tracker.at(7, kNow).prefill_tokens == 20);
}

TEST_CASE("reservations of a crashed gateway expire") {
  OccupancyTracker tracker;
  tracker.reserve({7, NodeId("dead"), 1}, 10, false, kNow);
  CHECK(tracker.at(7, kNow + absl::Seconds(14)).running == 1);
  CHECK(tracker.at(7, kNow + absl::Seconds(16)).running == 0);
  CHECK(tracker.at(7, kNow + absl::Seconds(16)).prefill_tokens == 0);
}

TEST_CASE("an engine is fully observed once it was tracked for as long as requests take") {
  OccupancyTracker tracker;
  CHECK_FALSE(tracker.isFullyObserved(7, kNow));
  tracker.reserve({7, NodeId("a"), 1}, 10, false, kNow);
  CHECK_FALSE(tracker.isFullyObserved(7, kNow + absl::Seconds(3)));
  CHECK(tracker.isFullyObserved(7, kNow + absl::Seconds(4)));
}

}  // namespace
}  // namespace quincewick::forwarding
