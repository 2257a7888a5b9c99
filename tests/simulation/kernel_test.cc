#include <absl/random/distributions.h>
#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

#include "simulation/component_random.h"
#include "simulation/event_queue.h"
#include "simulation/fault_schedule.h"
#include "simulation/network_model.h"
#include "simulation/topology.h"

namespace quincewick::simulation {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

TEST_CASE("events run by time, and by the order of scheduling within one time") {
  rc::prop("order", [](const std::vector<uint8_t>& delays) {
    EventQueue queue(kStart);
    std::vector<std::pair<int, size_t>> ran;
    for (size_t index = 0; index < delays.size(); ++index) {
      const int delay = delays[index] % 8;
      queue.scheduleAfter(absl::Seconds(delay), [&ran, &queue, delay, index] {
        RC_ASSERT(queue.now() == kStart + absl::Seconds(delay));
        ran.emplace_back(delay, index);
      });
    }
    queue.runUntil(kStart + absl::Seconds(8));
    RC_ASSERT(ran.size() == delays.size());
    RC_ASSERT(std::is_sorted(ran.begin(), ran.end()));
    RC_ASSERT(queue.now() == kStart + absl::Seconds(8));
  });
}

TEST_CASE("an event scheduled in the past runs now, and the end of a run holds later ones back") {
  EventQueue queue(kStart);
  int runs = 0;
  queue.scheduleAfter(absl::Seconds(2), [&] { queue.scheduleAt(kStart, [&] { ++runs; }); });
  queue.scheduleAfter(absl::Seconds(4), [&] { ++runs; });
  queue.runUntil(kStart + absl::Seconds(3));
  CHECK(runs == 1);
  CHECK_FALSE(queue.empty());
}

TEST_CASE("a component's generator depends on the seed and its name only") {
  CHECK(componentRandom(7, "node-1")() == componentRandom(7, "node-1")());
  CHECK(componentRandom(7, "node-1")() != componentRandom(8, "node-1")());
  CHECK(componentRandom(7, "node-1")() != componentRandom(7, "node-2")());
}

TEST_CASE("cuts add up, isolate exactly their zone or region, and heal") {
  NetworkModel network(NetworkOptions(), {0, 0, 1, 1});
  network.cutZone(1);
  network.cutZone(1);
  CHECK(network.reachable(1, 1));
  CHECK_FALSE(network.reachable(0, 1));
  CHECK(network.reachable(0, 2));
  network.healZone(1);
  CHECK_FALSE(network.reachable(1, 0));
  network.healZone(1);
  CHECK(network.reachable(1, 0));
  network.cutRegion(1);
  CHECK(network.reachable(2, 3));
  CHECK_FALSE(network.reachable(0, 3));
  Random random = componentRandom(1, "network");
  CHECK(network.datagramDelays(0, 3, random).empty());
}

TEST_CASE("loss and duplication come at their rates and delays within their bounds") {
  NetworkOptions options;
  options.loss = 0.2;
  options.duplication = 0.1;
  const NetworkModel network(options, {0, 0});
  Random random = componentRandom(1, "network");
  constexpr int kDatagrams = 20'000;
  int copies = 0;
  for (int datagram = 0; datagram < kDatagrams; ++datagram) {
    for (const absl::Duration delay : network.datagramDelays(0, 1, random)) {
      ++copies;
      REQUIRE(delay >= options.between_zones);
      REQUIRE(delay <= options.between_zones + options.jitter);
    }
  }
  CHECK(copies == Approx(kDatagrams * 0.8 * 1.1).epsilon(0.02));
}

TEST_CASE("a layout deals machines out evenly and refuses an empty zone") {
  const Topology topology = makeTopology({410, 12'000, 12, 0}).value();
  CHECK(topology.regions.size() == 4);
  for (const Zone& zone : topology.zones) {
    CHECK(zone.engines.size() == 1000);
    CHECK((zone.nodes.size() == 34 || zone.nodes.size() == 35));
  }
  CHECK(makeTopology({2, 12, 3, 0}).has_error());
}

TEST_CASE("a fault schedule is read with defaults, and mistakes are named by place") {
  const auto faults = parseFaultSchedule(
      "faults:\n  - {kind: store_slow, at: 10s, factor: 4}\n"
      "  - {kind: pause, at: 1m, for: 500ms, count: 2, zone: zone-01}\n");
  REQUIRE(faults.has_value());
  CHECK(faults.value()[0].factor == 4);
  CHECK(faults.value()[0].duration == absl::Seconds(20));
  CHECK(faults.value()[1].zone == ZoneName("zone-01"));
  const auto message = [](std::string_view yaml) { return parseFaultSchedule(yaml).error().message; };
  CHECK(message("faults:\n  - {kind: typo, at: 1s}").find("line 2, column 12") != std::string::npos);
  CHECK(message("faults:\n  - {kind: pause, at: 1s, length: 1s}").find("line 2") != std::string::npos);
  CHECK(message("faults:\n  - {kind: pause, at: -1s}").find("duration") != std::string::npos);
  CHECK(message("faults:\n  - {kind: cache_event_loss, at: 1s, factor: 2}").find("from 0") !=
        std::string::npos);
  CHECK(message("faults:\n  - {kind: pause}").find("key at") != std::string::npos);
  CHECK(message("fault: []").find("faults") != std::string::npos);
  CHECK(message("faults: [").find("line") != std::string::npos);
}

}  // namespace
}  // namespace quincewick::simulation
