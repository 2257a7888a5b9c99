#include "forwarding/confirmation_watch.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

// Guards against a gateway that takes a version for named when it reads it: readings came 1.15 s late, and
// later at gateways that stood still.
TEST_CASE("a change counts from the last read without it, however late it is read") {
  constexpr absl::Duration usual = absl::Seconds(2);
  constexpr absl::Duration interval = absl::Milliseconds(100);
  ConfirmationWatch watch;
  CHECK(watch.changedSince(kNow, absl::InfinitePast(), usual) == kNow - usual);
  watch.tick(kNow, kNow, interval);
  CHECK(watch.changedSince(kNow + absl::Seconds(1), kNow, usual) == kNow);
  // The node stood still.
  watch.tick(kNow + absl::Seconds(5), kNow, interval);
  CHECK(watch.changedSince(kNow + absl::Seconds(5), kNow, usual) == kNow);
}

TEST_CASE("a change that is read after an outage of the store isn't taken to be as old as the outage") {
  constexpr absl::Duration usual = absl::Seconds(2);
  constexpr absl::Duration interval = absl::Milliseconds(100);
  ConfirmationWatch watch;
  absl::Time now = kNow;
  for (int ticks = 0; ticks < 100; ++ticks, now += interval) {
    watch.tick(now, kNow, interval);
  }
  CHECK(watch.changedSince(now, kNow, usual) == now - usual);
  watch.tick(now, now, interval);
  CHECK(watch.changedSince(now + absl::Seconds(1), now, usual) == now);
}

}  // namespace
}  // namespace quincewick::forwarding
