#include "forwarding/back_pressure.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("the longest rest that a server asked for holds, counted from its answer") {
  BackPressure pressure;
  CHECK(pressure.noteRest(absl::Seconds(3), kNow));
  CHECK_FALSE(pressure.noteRest(absl::Seconds(1), kNow + absl::Seconds(1)));
  CHECK(pressure.rests(kNow + absl::Milliseconds(2999)));
  CHECK_FALSE(pressure.rests(kNow + absl::Seconds(3)));
  CHECK(pressure.noteRest(absl::Milliseconds(500), kNow + absl::Milliseconds(2900)));
  CHECK(pressure.freeAt() == kNow + absl::Milliseconds(3400));
  CHECK_FALSE(pressure.noteRest(absl::ZeroDuration(), kNow + absl::Seconds(5)));
}

TEST_CASE("a rest is obeyed for a bounded time, whatever its length") {
  BackPressure pressure;
  CHECK(pressure.noteRest(absl::Hours(1'000'000), kNow));
  CHECK(pressure.rests(kNow + absl::Minutes(4)));
  CHECK_FALSE(pressure.rests(kNow + absl::Minutes(6)));
}

TEST_CASE("after a rest one request goes alone until an answer or a moment has passed") {
  BackPressure pressure;
  pressure.noteRest(absl::Seconds(1), kNow);
  const absl::Time over = kNow + absl::Seconds(1);
  CHECK(pressure.freeAt() <= over);
  pressure.noteSent(over);
  CHECK(pressure.freeAt() > over);
  CHECK(pressure.freeAt() <= over + absl::Milliseconds(250));
  pressure.noteAnswered(over + absl::Milliseconds(20));
  CHECK(pressure.freeAt() <= over + absl::Milliseconds(20));
  pressure.noteSent(over + absl::Milliseconds(30));
  CHECK(pressure.freeAt() <= over + absl::Milliseconds(30));
}

TEST_CASE("an answer to what was sent before a rest doesn't end it") {
  BackPressure pressure;
  pressure.noteRest(absl::Seconds(1), kNow);
  pressure.noteAnswered(kNow + absl::Milliseconds(10));
  CHECK(pressure.rests(kNow + absl::Milliseconds(500)));
  pressure.noteSent(kNow + absl::Seconds(1));
  CHECK(pressure.freeAt() > kNow + absl::Seconds(1));
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
          pressure.noteRest(rest, now);
          rests_until = std::max(rests_until, now + rest);
          break;
        }
        case 1:
          pressure.noteAnswered(now);
          break;
        default:
          if (now >= pressure.freeAt()) {
            RC_ASSERT(now >= rests_until);
            pressure.noteSent(now);
          }
      }
      RC_ASSERT(pressure.freeAt() <= std::max(now, rests_until) + absl::Milliseconds(250));
    }
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
