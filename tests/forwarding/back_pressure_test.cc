#include "forwarding/back_pressure.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("the longest requested back-off holds, counted from its response") {
  BackPressure pressure;
  CHECK(pressure.noteBackOff(absl::Seconds(3), kNow));
  CHECK_FALSE(pressure.noteBackOff(absl::Seconds(1), kNow + absl::Seconds(1)));
  CHECK(pressure.isBackingOff(kNow + absl::Milliseconds(2999)));
  CHECK_FALSE(pressure.isBackingOff(kNow + absl::Seconds(3)));
  CHECK(pressure.noteBackOff(absl::Milliseconds(500), kNow + absl::Milliseconds(2900)));
  CHECK(pressure.availableAt() == kNow + absl::Milliseconds(3400));
  CHECK_FALSE(pressure.noteBackOff(absl::ZeroDuration(), kNow + absl::Seconds(5)));
}

TEST_CASE("a back-off period is bounded, whatever the server requests") {
  BackPressure pressure;
  CHECK(pressure.noteBackOff(absl::Hours(1'000'000), kNow));
  CHECK(pressure.isBackingOff(kNow + absl::Minutes(4)));
  CHECK_FALSE(pressure.isBackingOff(kNow + absl::Minutes(6)));
}

TEST_CASE("after a back-off period one probe is sent until a response comes or the probe time has passed") {
  BackPressure pressure;
  pressure.noteBackOff(absl::Seconds(1), kNow);
  const absl::Time over = kNow + absl::Seconds(1);
  CHECK(pressure.availableAt() <= over);
  pressure.noteSent(over);
  CHECK(pressure.availableAt() > over);
  CHECK(pressure.availableAt() <= over + absl::Milliseconds(250));
  pressure.noteResponse(over + absl::Milliseconds(20));
  CHECK(pressure.availableAt() <= over + absl::Milliseconds(20));
  pressure.noteSent(over + absl::Milliseconds(30));
  CHECK(pressure.availableAt() <= over + absl::Milliseconds(30));
}

TEST_CASE("a response to a request sent before the back-off period does not end it") {
  BackPressure pressure;
  pressure.noteBackOff(absl::Seconds(1), kNow);
  pressure.noteResponse(kNow + absl::Milliseconds(10));
  CHECK(pressure.isBackingOff(kNow + absl::Milliseconds(500)));
  pressure.noteSent(kNow + absl::Seconds(1));
  CHECK(pressure.availableAt() > kNow + absl::Seconds(1));
}

// Responses come in any order; requests are sent whenever the server may be chosen.
TEST_CASE("no request is sent during a requested back-off, and a server always becomes available again") {
  CHECK(rc::check([] {
    BackPressure pressure;
    absl::Time now = kNow;
    absl::Time back_off_until = absl::InfinitePast();
    for (int step = 0; step < 200; ++step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 400));
      switch (*rc::gen::inRange(0, 4)) {
        case 0: {
          const absl::Duration back_off = absl::Milliseconds(*rc::gen::inRange(0, 4000));
          pressure.noteBackOff(back_off, now);
          back_off_until = std::max(back_off_until, now + back_off);
          break;
        }
        case 1:
          pressure.noteResponse(now);
          break;
        default:
          if (now >= pressure.availableAt()) {
            RC_ASSERT(now >= back_off_until);
            pressure.noteSent(now);
          }
      }
      RC_ASSERT(pressure.availableAt() <= std::max(now, back_off_until) + absl::Milliseconds(250));
    }
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
