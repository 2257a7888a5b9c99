#include "simulation/simulation.h"

#include <catch2/catch.hpp>

#include <string>

#include "simulation/capacity_workload.h"
#include "simulation/report_writer.h"

namespace quincewick::simulation {
namespace {

SimulationOptions smallSite(uint64_t seed) {
  SimulationOptions options;
  options.topology = {9, 36, 3, 0};
  options.duration = absl::Seconds(40);
  options.warm_up = absl::Seconds(5);
  options.seed = seed;
  options.rate = 15;
  options.workload = capacityWorkload(8);
  return options;
}

SimulationReport runWith(const SimulationOptions& options) {
  Result<SimulationReport> report = runSimulation(options);
  REQUIRE(report.has_value());
  return std::move(report).value();
}

TEST_CASE("equal seeds give equal reports to the byte, other seeds others") {
  SimulationOptions options = smallSite(7);
  options.faults = parseFaultSchedule(
                       "faults:\n"
                       "  - {kind: engine_crash, at: 8s, count: 3}\n"
                       "  - {kind: node_crash, at: 10s}\n"
                       "  - {kind: zone_cut, at: 15s, for: 5s}\n"
                       "  - {kind: cache_event_loss, at: 12s}\n")
                       .value();
  const std::string first = writeRepeatableJson(options, runWith(options));
  const std::string second = writeRepeatableJson(options, runWith(options));
  CHECK(first == second);
  // What is measured comes after it, and only adds.
  const SimulationReport report = runWith(options);
  const std::string whole = writeJson(options, report);
  const size_t common = first.rfind("\n}");
  CHECK(whole.substr(0, common) == first.substr(0, common));
  options.seed = 8;
  CHECK(writeRepeatableJson(options, runWith(options)) != first);
}

TEST_CASE("promises hold under single, double and repeated faults") {
  const std::string schedule =
      GENERATE(as<std::string>(), "faults: [{kind: engine_crash, at: 8s, count: 6}]",
               "faults: [{kind: node_restart_herd, at: 10s}]", "faults: [{kind: zone_cut, at: 8s, for: 10s}]",
               "faults: [{kind: planned_stop, at: 8s, count: 2}]",
               "faults: [{kind: pause, at: 8s, for: 6s, count: 2},"
               " {kind: node_crash, at: 10s, count: 2}]",
               "faults: [{kind: store_outage, at: 7s, for: 20s},"
               " {kind: node_restart_herd, at: 10s, zone: zone-01}]",
               "faults: [{kind: racing_operators, at: 8s, count: 4},"
               " {kind: store_lost_answers, at: 7s, factor: 0.5},"
               " {kind: racing_operators, at: 9s, count: 4}]",
               "faults: [{kind: engine_crash, at: 8s, for: 1s, count: 9},"
               " {kind: engine_crash, at: 10s, for: 1s, count: 9},"
               " {kind: cache_event_loss, at: 7s}]");
  for (const uint64_t seed : {1, 2, 3}) {
    SimulationOptions options = smallSite(seed);
    options.faults = parseFaultSchedule(schedule).value();
    const SimulationReport report = runWith(options);
    INFO(schedule << writeTable(options, report));
    CHECK(report.violations.total() == 0);
    CHECK(report.faults == options.faults.size());
    // The run did something: most requests were answered.
    CHECK(report.callers.completed > report.callers.requests / 2);
  }
}

TEST_CASE("a fault on a zone that the site doesn't have, and a warm-up as long as the run, are refused") {
  SimulationOptions options = smallSite(1);
  options.faults = parseFaultSchedule("faults: [{kind: zone_cut, at: 8s, zone: zone-77}]").value();
  CHECK(runSimulation(options).has_error());
  options.faults.clear();
  options.warm_up = options.duration;
  CHECK(runSimulation(options).has_error());
}

}  // namespace
}  // namespace quincewick::simulation
