// Prints what control costs a node at growing sizes. See docs/CAPACITY.md.
#include <cstdio>

#include "simulation/capacity_workload.h"
#include "simulation/report_writer.h"
#include "simulation/simulation.h"

namespace quincewick::simulation {
namespace {

struct Size {
  uint32_t nodes;
  uint32_t engines;
  uint32_t zones;
  uint32_t tenants;
  double rate;  // the share of 27 requests/s a node at small sizes; cut at large ones to keep the run short
  absl::Duration warm_up;
  absl::Duration duration;
};

SimulationOptions optionsOf(const Size& size) {
  SimulationOptions options;
  options.topology = {size.nodes, size.engines, size.zones, 0};
  options.rate = size.rate;
  options.duration = size.duration;
  options.warm_up = size.warm_up;
  options.workload = capacityWorkload(size.tenants);
  return options;
}

int measure() {
  const Size sizes[] = {{12, 348, 3, 1600, 324, absl::Seconds(25), absl::Seconds(40)},
                        {50, 1450, 4, 1600, 100, absl::Seconds(25), absl::Seconds(40)},
                        {130, 3770, 8, 1600, 100, absl::Seconds(25), absl::Seconds(35)},
                        {410, 12'000, 12, 1600, 100, absl::Seconds(40), absl::Seconds(60)}};
  for (const Size& size : sizes) {
    const SimulationOptions options = optionsOf(size);
    const Result<SimulationReport> report = runSimulation(options);
    if (report.has_error()) {
      std::fprintf(stderr, "%s\n", report.error().message.c_str());
      return 1;
    }
    std::printf("%s\n", writeTable(options, report.value()).c_str());
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace
}  // namespace quincewick::simulation

int main() {
  return quincewick::simulation::measure();
}
