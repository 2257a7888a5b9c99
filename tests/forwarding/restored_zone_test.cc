// Guards against changes that are never in force after the store was restored from an older copy, whoever
// reads it and whatever else happens meanwhile.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "restored_zone.h"

namespace quincewick::forwarding {
namespace {

void change(RestoredZone& zone) {
  switch (zone.draw(8)) {
    case 0:
    case 1:
      zone.configure(false);
      return;
    case 2: {
      const std::string key(1, static_cast<char>('a' + zone.draw(3)));
      const bool is_deletion = zone.draw(4) == 0;
      zone.store().put(key, is_deletion ? "" : std::to_string(zone.draw(1000)), zone.now());
      return;
    }
    case 3:
      zone.store().writeElsewhere(zone.draw(500));
      return;
    case 4:
      zone.changeReader();
      return;
    case 5:
      zone.restartGateway();
      return;
    case 6:
      zone.standStill(zone.drawTime(100, 2500));
      return;
    default:
      return;
  }
}

// What the operator writes after a restore: at once, some time later, or nothing until the next change.
void restore(RestoredZone& zone) {
  const absl::Duration age = zone.draw(10) == 0 ? absl::Hours(1) : zone.drawTime(0, 4000);
  zone.store().restore(zone.now() - age, zone.now());
  const uint64_t choice = zone.draw(3);
  if (choice == 0) {
    zone.configure(zone.draw(2) == 0);
  } else if (choice == 1) {
    zone.run(zone.drawTime(1, 4000));
    zone.configure(zone.draw(2) == 0);
  }
}

TEST_CASE(
    "no gateway holds an older copy to be confirmed, whatever became of the store, and all copies converge") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const auto gateways = *rc::gen::inRange<size_t>(1, 5);
    const bool sends_era = *rc::gen::arbitrary<bool>();
    const int64_t max_delay = *rc::gen::element(20, 100, 800);
    RestoredZone zone(seed, gateways, sends_era);
    zone.setDelays(max_delay);
    zone.run(absl::Seconds(3));
    for (int step = 0; step < 40; ++step) {
      if (zone.draw(6) == 0) {
        restore(zone);
      } else {
        change(zone);
      }
      zone.run(zone.drawTime(1, 700));
      RC_ASSERT(zone.fault() == "");
    }
    zone.setDelays(20);
    zone.run(absl::Seconds(4));
    zone.configure(false);
    zone.run(kInForce + absl::Seconds(4));
    RC_ASSERT(zone.fault() == "");
    RC_ASSERT(zone.hasConverged());
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
