// The incident: a gateway answered 404 to a request whose route had been acknowledged 3.07 s before; 3 s are
// allowed.
//
// Seen: at one gateway that was well itself, before a store that answered it. How it comes about: the peers
// that read the store for its zone fail one after the other; each is noticed after 1.5 s and more, and the
// next one takes over without knowing what the zone has lost already. Cause: the age of the configuration
// was known to each gateway, and neither bounded by what the site promises nor asked before a decision.
// Proof: the scenarios here, in which gateways go by configurations that are older than the bound.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <numeric>

#include "reader_zone.h"

namespace quincewick::forwarding {
namespace {

constexpr size_t kGateways = 8;
constexpr absl::Duration kConfigurationBound = absl::Seconds(3);

Zone calmZone(absl::Duration bound = kConfigurationBound) {
  Zone zone({"a", "b", "c", "d", "e", "f", "g", "h"}, bound);
  zone.run(absl::Milliseconds(kCalmMs) + drawn(0, 3000));
  zone.oldest_configuration = absl::ZeroDuration();
  return zone;
}

absl::Duration drawnBound() {
  return absl::Seconds(*rc::gen::element(2, 3, 5));
}

// In the order in which they take over.
std::vector<size_t> firstInLine(size_t most) {
  std::vector<size_t> result(*rc::gen::inRange<size_t>(1, most + 1));
  std::iota(result.begin(), result.end(), 0);
  return result;
}

TEST_CASE("a configuration is in force in time though the store turns the next readers away, too") {
  CHECK(rc::check([] {
    Zone zone = calmZone();
    for (const size_t index : firstInLine(kGateways / 2)) {
      zone.turnAway(zone.gateways[index]);
    }
    zone.run(absl::Seconds(6));
    RC_ASSERT(zone.oldest_configuration <= kConfigurationBound);
  }));
}

TEST_CASE("a configuration is in force in time though readers stand still one after the other") {
  CHECK(rc::check([] {
    Zone zone = calmZone();
    for (const size_t index : firstInLine(kGateways / 2)) {
      zone.freeze(zone.gateways[index]);
      zone.run(drawn(0, 2500));
    }
    zone.run(absl::Seconds(6));
    RC_ASSERT(zone.oldest_configuration <= kConfigurationBound);
  }));
}

TEST_CASE("a configuration is in force in time after the store was away for all") {
  CHECK(rc::check([] {
    const absl::Duration bound = drawnBound();
    Zone zone = calmZone(bound);
    zone.setStoreAnswers(false);
    zone.run(drawn(1000, 12000));
    zone.setStoreAnswers(true);
    zone.run(absl::Seconds(6));
    RC_ASSERT(zone.oldest_configuration <= bound);
  }));
}

TEST_CASE("a configuration is in force in time under other bounds, while readers fail in any way") {
  CHECK(rc::check([] {
    const absl::Duration bound = drawnBound();
    Zone zone = calmZone(bound);
    for (const size_t index : firstInLine(kGateways / 2)) {
      if (*rc::gen::arbitrary<bool>()) {
        zone.freeze(zone.gateways[index]);
      } else {
        zone.turnAway(zone.gateways[index]);
      }
      zone.run(drawn(0, 2500));
    }
    zone.run(absl::Seconds(6));
    RC_ASSERT(zone.oldest_configuration <= bound);
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
