#include "cli/simulate_command.h"

#include <absl/strings/numbers.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "simulation/capacity_workload.h"
#include "simulation/report_writer.h"
#include "simulation/simulation.h"

namespace quincewick::cli {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitViolations = 1;
constexpr int kExitMisuse = 2;
constexpr absl::Duration kMaxDefaultWarmUp = absl::Seconds(10);
// One node's share of the request rate of the deployment size that the system is designed for.
constexpr double kDefaultRequestsPerSecondPerNode = 27;

cxxopts::Options makeOptions() {
  cxxopts::Options options("quincewick simulate", "Simulates a site of nodes and engines on virtual time.");
  // clang-format off
  options.add_options()
      ("nodes", "router nodes", cxxopts::value<uint32_t>()->default_value("12"))
      ("engines", "model engines", cxxopts::value<uint32_t>()->default_value("348"))
      ("zones", "zones", cxxopts::value<uint32_t>()->default_value("3"))
      ("regions", "regions; 0: one for three zones", cxxopts::value<uint32_t>()->default_value("0"))
      ("duration", "virtual time to run, such as 60s; without a unit: seconds", cxxopts::value<std::string>()->default_value("60s"))
      ("warm-up", "initial period that isn't measured; default: a quarter, at most 10s", cxxopts::value<std::string>())
      ("seed", "seed of all random numbers", cxxopts::value<uint64_t>()->default_value("1"))
      ("rate", "requests a second; 0: 27 for each node", cxxopts::value<double>()->default_value("0"))
      ("tenants", "tenants of the built-in workload", cxxopts::value<uint32_t>()->default_value("160"))
      ("changes", "changes of the configuration a day", cxxopts::value<double>()->default_value("94000"))
      ("workload", "workload file; default: a built-in one", cxxopts::value<std::string>())
      ("faults", "fault schedule file", cxxopts::value<std::string>())
      ("output", "json or table", cxxopts::value<std::string>()->default_value("table"))
      ("help", "print this help");
  // clang-format on
  return options;
}

// A number without a unit is seconds.
Result<absl::Duration> parseDuration(const std::string& text) {
  absl::Duration duration;
  double seconds = 0;
  if (absl::SimpleAtod(text, &seconds) && seconds >= 0) {
    return absl::Seconds(seconds);
  }
  if (!absl::ParseDuration(text, &duration) || duration < absl::ZeroDuration()) {
    return fail(ErrorCode::kInvalidArgument, "not a duration such as 60s: " + text);
  }
  return duration;
}

Result<std::vector<simulation::Fault>> readFaults(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return fail(ErrorCode::kNotFound, "can't read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  Result<std::vector<simulation::Fault>> faults = simulation::parseFaultSchedule(text.str());
  if (faults.has_error()) {
    return fail(faults.error().code, path + ": " + faults.error().message);
  }
  return faults;
}

Result<simulation::SimulationOptions> readOptions(const cxxopts::ParseResult& parsed) {
  simulation::SimulationOptions options;
  options.topology.nodes = parsed["nodes"].as<uint32_t>();
  options.topology.engines = parsed["engines"].as<uint32_t>();
  options.topology.zones = parsed["zones"].as<uint32_t>();
  options.topology.regions = parsed["regions"].as<uint32_t>();
  options.seed = parsed["seed"].as<uint64_t>();
  const double rate = parsed["rate"].as<double>();
  options.rate = rate == 0 ? kDefaultRequestsPerSecondPerNode * options.topology.nodes : rate;
  options.changes_per_day = parsed["changes"].as<double>();
  BOOST_OUTCOME_TRY(duration, parseDuration(parsed["duration"].as<std::string>()));
  options.duration = duration;
  options.warm_up = std::min(kMaxDefaultWarmUp, options.duration / 4);
  if (parsed.count("warm-up") > 0) {
    BOOST_OUTCOME_TRY(warm_up, parseDuration(parsed["warm-up"].as<std::string>()));
    options.warm_up = warm_up;
  }
  if (parsed.count("workload") > 0) {
    BOOST_OUTCOME_TRY(workload, loadgen::readWorkloadFile(parsed["workload"].as<std::string>()));
    options.workload = std::move(workload);
  } else {
    options.workload = simulation::capacityWorkload(std::max(1U, parsed["tenants"].as<uint32_t>()));
  }
  if (parsed.count("faults") > 0) {
    BOOST_OUTCOME_TRY(faults, readFaults(parsed["faults"].as<std::string>()));
    options.faults = std::move(faults);
  }
  return options;
}

int misuse(const std::string& message) {
  std::fprintf(stderr, "quincewick simulate: %s\n", message.c_str());
  return kExitMisuse;
}

int simulate(const cxxopts::ParseResult& parsed) {
  const std::string output = parsed["output"].as<std::string>();
  if (output != "json" && output != "table") {
    return misuse("--output must be json or table");
  }
  const Result<simulation::SimulationOptions> options = readOptions(parsed);
  if (options.has_error()) {
    return misuse(options.error().message);
  }
  const Result<simulation::SimulationReport> report = simulation::runSimulation(options.value());
  if (report.has_error()) {
    return misuse(report.error().message);
  }
  const auto write = output == "json" ? simulation::writeJson : simulation::writeTable;
  std::cout << write(options.value(), report.value());
  return report.value().violations.total() == 0 ? kExitSuccess : kExitViolations;
}

}  // namespace

int runSimulateCommand(int argc, char** argv) {
  cxxopts::Options options = makeOptions();
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return kExitSuccess;
    }
    if (!parsed.unmatched().empty()) {
      return misuse("unknown argument " + parsed.unmatched().front());
    }
    return simulate(parsed);
  } catch (const cxxopts::exceptions::exception& exception) {
    return misuse(exception.what());
  }
}

}  // namespace quincewick::cli
