#include "forwarding/back_pressure.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("the longest rest that a server asked for holds, counted from its answer") {
  BackPressure pressure;
  CHECK(pressure.noteBackOff(absl::Seconds(3), kNow));
  CHECK_FALSE(pressure.noteBackOff(absl::Seconds(1), kNow + absl::Seconds(1)));
  CHECK(pressure.isBackingOff(kNow + absl::Milliseconds(2999)));
  CHECK_FALSE(pressure.isBackingOff(kNow + absl::Seconds(3)));
  CHECK(pressure.noteBackOff(absl::Milliseconds(500), kNow + absl::Milliseconds(2900)));
  CHECK(pressure.availableAt() == kNow + absl::Milliseconds(3400));
  CHECK_FALSE(pressure.noteBackOff(absl::ZeroDuration(), kNow + absl::Seconds(5)));
}

TEST_CASE("a rest is obeyed for a bounded time, whatever its length") {
  BackPressure pressure;
  CHECK(pressure.noteBackOff(absl::Hours(1'000'000), kNow));
  CHECK(pressure.isBackingOff(kNow + absl::Minutes(4)));
  CHECK_FALSE(pressure.isBackingOff(kNow + absl::Minutes(6)));
}

TEST_CASE("after a rest one request goes alone until an answer or a moment has passed") {
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

TEST_CASE("an answer to what was sent before a rest doesn't end it") {
  BackPressure pressure;
  pressure.noteBackOff(absl::Seconds(1), kNow);
  pressure.noteResponse(kNow + absl::Milliseconds(10));
  CHECK(pressure.isBackingOff(kNow + absl::Milliseconds(500)));
  pressure.noteSent(kNow + absl::Seconds(1));
  CHECK(pressure.availableAt() > kNow + absl::Seconds(1));
}

// Answers come in any order, requests go whenever the server may be chosen.
TEST_CASE("no request is sent during any rest that was asked for, and a server is always free again") {
  CHECK(rc::check([] {
    BackPressure pressure;
    absl::Time now = kNow;
    absl::Time rests_until = absl::InfinitePast();
    for (int step = 0; step < 200; ++step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 400));
      switch (*rc::gen::inRange(0, 4)) {
        case 0: {
          const absl::Duration rest = absl::Milliseconds(*rc::gen::inRange(0, 4000));
          pressure.noteBackOff(rest, now);
          rests_until = std::max(rests_until, now + rest);
          break;
        }
        case 1:
          pressure.noteResponse(now);
          break;
        default:
          if (now >= pressure.availableAt()) {
            RC_ASSERT(now >= rests_until);
            pressure.noteSent(now);
          }
      }
      RC_ASSERT(pressure.availableAt() <= std::max(now, rests_until) + absl::Milliseconds(250));
    }
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
