#include "forwarding/lane_share.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kStart = absl::UnixEpoch();

// Requests of both kinds for a minute, so many a second.
LaneShare seen(int short_a_second, absl::Duration held, int long_a_second, absl::Duration reading) {
  LaneShare lanes;
  for (int second = 0; second < 60; ++second) {
    const absl::Time now = kStart + absl::Seconds(second);
    for (int request = 0; request < short_a_second; ++request) {
      lanes.noteShort(held, 16, now);
    }
    for (int request = 0; request < long_a_second; ++request) {
      lanes.noteLong(reading, now);
    }
  }
  return lanes;
}

TEST_CASE("the lanes' engines bear their work alike") {
  const LaneShare lanes = seen(185, absl::Seconds(2), 170, absl::Milliseconds(130));
  const double share = lanes.share(kStart + absl::Minutes(1));
  CHECK(share > 0.27);
  CHECK(share < 0.31);
}

TEST_CASE("a lane keeps a few engines when nothing was seen of its kind, and the other most") {
  const absl::Time now = kStart + absl::Minutes(1);
  CHECK(seen(0, absl::ZeroDuration(), 100, absl::Milliseconds(200)).share(now) == Approx(0.1));
  CHECK(seen(100, absl::Seconds(2), 0, absl::ZeroDuration()).share(now) == Approx(0.6));
}

TEST_CASE("before anything is seen, and long after, the share is that of the start") {
  CHECK(LaneShare().share(kStart) == Approx(0.35));
  const LaneShare lanes = seen(0, absl::ZeroDuration(), 100, absl::Milliseconds(200));
  CHECK(lanes.share(kStart + absl::Minutes(10)) == Approx(0.35).epsilon(0.01));
}

}  // namespace
}  // namespace quincewick::forwarding
