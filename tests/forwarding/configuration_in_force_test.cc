// Guards against a healthy gateway that uses an outdated configuration although the store responds to it: one
// returned 404 for a route that had been acknowledged 3.07 s before, where 3 s are allowed. The zone readers
// fail one after the other; each failure is detected after 1.5 s or more, and the next reader takes over
// without knowing how much of the bound is used up. Each gateway therefore has to bound the age of its
// configuration itself.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <numeric>

#include "reader_zone.h"

namespace quincewick::forwarding {
namespace {

constexpr size_t kGateways = 8;
constexpr absl::Duration kConfigurationBound = absl::Seconds(3);

Zone settledZone(absl::Duration bound = kConfigurationBound) {
  Zone zone({"a", "b", "c", "d", "e", "f", "g", "h"}, bound);
  zone.run(absl::Milliseconds(kSettleMs) + randomDuration(0, 3000));
  zone.oldest_configuration = absl::ZeroDuration();
  return zone;
}

absl::Duration randomBound() {
  return absl::Seconds(*rc::gen::element(2, 3, 5));
}

// Indexes of the first gateways in the order in which they take over as reader.
std::vector<size_t> firstCandidates(size_t most) {
  std::vector<size_t> result(*rc::gen::inRange<size_t>(1, most + 1));
  std::iota(result.begin(), result.end(), 0);
  return result;
}

TEST_CASE("a configuration is in force in time though the store refuses the next readers, too") {
  CHECK(rc::check([] {
    Zone zone = settledZone();
    for (const size_t index : firstCandidates(kGateways / 2)) {
      zone.refuse(zone.gateways[index]);
    }
    zone.run(absl::Seconds(6));
    RC_ASSERT(zone.oldest_configuration <= kConfigurationBound);
  }));
}

TEST_CASE("a configuration is in force in time though readers freeze one after the other") {
  CHECK(rc::check([] {
    Zone zone = settledZone();
    for (const size_t index : firstCandidates(kGateways / 2)) {
      zone.freeze(zone.gateways[index]);
      zone.run(randomDuration(0, 2500));
    }
    zone.run(absl::Seconds(6));
    RC_ASSERT(zone.oldest_configuration <= kConfigurationBound);
  }));
}

TEST_CASE("a configuration is in force in time after a store outage for all gateways") {
  CHECK(rc::check([] {
    const absl::Duration bound = randomBound();
    Zone zone = settledZone(bound);
    zone.setStoreAnswers(false);
    zone.run(randomDuration(1000, 12000));
    zone.setStoreAnswers(true);
    zone.run(absl::Seconds(6));
    RC_ASSERT(zone.oldest_configuration <= bound);
  }));
}

TEST_CASE("a configuration is in force in time with other bounds and mixed reader failures") {
  CHECK(rc::check([] {
    const absl::Duration bound = randomBound();
    Zone zone = settledZone(bound);
    for (const size_t index : firstCandidates(kGateways / 2)) {
      if (*rc::gen::arbitrary<bool>()) {
        zone.freeze(zone.gateways[index]);
      } else {
        zone.refuse(zone.gateways[index]);
      }
      zone.run(randomDuration(0, 2500));
    }
    zone.run(absl::Seconds(6));
    RC_ASSERT(zone.oldest_configuration <= bound);
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
