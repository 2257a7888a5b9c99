// Guards against requests that reach a server up to 2.8 s after it left, where 2 s are allowed, while the
// zone reader changes because it stops, comes back, or is refused by the store. Without a bound on the age of
// the server list, there are three causes: a new reader reads the list once and then not for 2.2 s; a gateway
// without a newer confirmation for as long assumes a store outage and keeps a server whose entry is gone; and
// followers of a reader that gets no responses wait 2.3 s until the reader detects that. Each is a scenario
// here, on virtual time.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "reader_zone.h"

namespace quincewick::forwarding {
namespace {

TEST_CASE("gateways drop a leaving server in time while a better reader comes back") {
  CHECK(rc::check([] {
    Zone zone({"a", "b", "c"});
    zone.stop(zone.gateways[0]);
    zone.run(absl::Milliseconds(kSettleMs) + randomDuration(0, 3000));
    zone.start(zone.gateways[0]);
    zone.leaves_unannounced = *rc::gen::arbitrary<bool>();
    zone.leaves = zone.now + randomDuration(0, 5000);
    zone.run(absl::Seconds(9));
    RC_ASSERT(zone.isDroppedInTime());
  }));
}

TEST_CASE("gateways drop a leaving server in time when the zone reader stops") {
  CHECK(rc::check([] {
    Zone zone({"a", "b", "c"});
    zone.run(absl::Milliseconds(kSettleMs) + randomDuration(0, 3000));
    zone.leaves_unannounced = *rc::gen::arbitrary<bool>();
    zone.leaves = zone.now + randomDuration(0, 4000);
    zone.stop(zone.reader());
    zone.run(absl::Seconds(9));
    RC_ASSERT(zone.isDroppedInTime());
  }));
}

TEST_CASE("gateways drop a leaving server in time when the store refuses the zone reader") {
  CHECK(rc::check([] {
    Zone zone({"a", "b", "c", "d"});
    zone.run(absl::Milliseconds(kSettleMs) + randomDuration(0, 3000));
    zone.leaves_unannounced = *rc::gen::arbitrary<bool>();
    zone.leaves = zone.now + randomDuration(0, 4000);
    if (*rc::gen::arbitrary<bool>()) {
      zone.run(randomDuration(0, 1000));
    }
    zone.refuse(zone.reader());
    zone.run(absl::Seconds(9));
    RC_ASSERT(zone.isDroppedInTime());
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
