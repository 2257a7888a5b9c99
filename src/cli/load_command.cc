#include "cli/load_command.h"

#include <absl/strings/str_cat.h>

#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cli/exit_codes.h"
#include "loadgen/driver.h"
#include "loadgen/report.h"
#include "loadgen/summary.h"
#include "loadgen/workload.h"

namespace quincewick::cli {
namespace {

constexpr double kMaxRequestsPerSecond = 100'000.0;
constexpr double kMaxSeconds = 86'400.0;
constexpr uint32_t kMaxWorkers = 4096;

struct LoadSettings {
  loadgen::Workload workload;
  loadgen::DriverOptions driver;
  loadgen::RunDescription description;
  std::string output;
  std::string report;
  nlohmann::json baseline;  // null: none
};

cxxopts::Options makeOptions() {
  cxxopts::Options options("quincewick load", "Sends a workload to routers and reports what callers saw.");
  cxxopts::OptionAdder add = options.add_options();
  add("target", "router addresses for callers, IP:PORT[,IP:PORT...]", cxxopts::value<std::string>());
  add("workload", "the workload file (YAML)", cxxopts::value<std::string>());
  add("seconds", "how long to send", cxxopts::value<double>()->default_value("10"));
  add("rate", "mean requests a second", cxxopts::value<double>()->default_value("10"));
  add("seed", "random seed; the same seed gives the same arrivals",
      cxxopts::value<uint64_t>()->default_value("1"));
  add("workers", "requests that can be in flight at once", cxxopts::value<uint32_t>()->default_value("256"));
  add("key", "one caller's key for all requests, in place of the tenants' own",
      cxxopts::value<std::string>());
  add("action-servers", "action servers whose executions are counted at the end, IP:PORT[,IP:PORT...]",
      cxxopts::value<std::string>());
  add("patience", "seconds to wait for the next byte of a response",
      cxxopts::value<double>()->default_value("60"));
  add("output", "write the result (JSON) here; - for standard output",
      cxxopts::value<std::string>()->default_value("-"));
  add("report", "write a report (HTML, with data and a gnuplot script beside it) here",
      cxxopts::value<std::string>());
  add("baseline", "an earlier result: print ratios to it", cxxopts::value<std::string>());
  add("mark", "SECONDS:TEXT, shown in the report; may be given again",
      cxxopts::value<std::vector<std::string>>());
  add("quiet", "no progress lines");
  add("help", "show this text");
  return options;
}

Result<double> boundedNumber(const cxxopts::ParseResult& flags, const char* name, double maximum) {
  const auto value = flags[name].as<double>();
  if (!(value > 0.0) || value > maximum) {
    return fail(ErrorCode::kInvalidArgument, absl::StrCat("--", name, " must be above 0, at most ", maximum));
  }
  return value;
}

Result<std::string> requiredFlag(const cxxopts::ParseResult& flags, const char* name) {
  if (flags.count(name) == 0) {
    return fail(ErrorCode::kInvalidArgument, absl::StrCat("--", name, " is missing"));
  }
  return flags[name].as<std::string>();
}

Result<nlohmann::json> readJsonFile(const std::string& path) {
  std::ifstream file(path);
  constexpr bool allow_exceptions = false;
  nlohmann::json json = nlohmann::json::parse(file, nullptr, allow_exceptions);
  if (!json.is_object()) {
    return fail(ErrorCode::kInvalidArgument, absl::StrCat(path, " is not a result of this command"));
  }
  return json;
}

Result<void> readDriverOptions(const cxxopts::ParseResult& flags, loadgen::DriverOptions& driver) {
  BOOST_OUTCOME_TRY(targets, requiredFlag(flags, "target"));
  BOOST_OUTCOME_TRY(addresses, loadgen::parseAddresses(targets));
  driver.targets = std::move(addresses);
  BOOST_OUTCOME_TRY(seconds, boundedNumber(flags, "seconds", kMaxSeconds));
  driver.length = absl::Seconds(seconds);
  BOOST_OUTCOME_TRY(rate, boundedNumber(flags, "rate", kMaxRequestsPerSecond));
  driver.rate = rate;
  BOOST_OUTCOME_TRY(patience, boundedNumber(flags, "patience", kMaxSeconds));
  driver.patience = absl::Seconds(patience);
  driver.seed = flags["seed"].as<uint64_t>();
  driver.workers = flags["workers"].as<uint32_t>();
  if (driver.workers == 0 || driver.workers > kMaxWorkers) {
    return fail(ErrorCode::kInvalidArgument, absl::StrCat("--workers must be from 1 to ", kMaxWorkers));
  }
  if (flags.count("key") > 0) {
    driver.key = flags["key"].as<std::string>();
  }
  if (flags.count("action-servers") > 0) {
    BOOST_OUTCOME_TRY(servers, loadgen::parseAddresses(flags["action-servers"].as<std::string>()));
    driver.action_servers = std::move(servers);
  }
  driver.show_progress = flags.count("quiet") == 0;
  return outcome::success();
}

Result<LoadSettings> readSettings(const cxxopts::ParseResult& flags) {
  LoadSettings settings;
  BOOST_OUTCOME_TRY(readDriverOptions(flags, settings.driver));
  BOOST_OUTCOME_TRY(file, requiredFlag(flags, "workload"));
  BOOST_OUTCOME_TRY(workload, loadgen::readWorkloadFile(file));
  settings.workload = std::move(workload);
  settings.description.workload_file = file;
  if (flags.count("mark") > 0) {
    settings.description.marks = flags["mark"].as<std::vector<std::string>>();
  }
  settings.output = flags["output"].as<std::string>();
  if (flags.count("report") > 0) {
    settings.report = flags["report"].as<std::string>();
  }
  if (flags.count("baseline") > 0) {
    BOOST_OUTCOME_TRY(baseline, readJsonFile(flags["baseline"].as<std::string>()));
    settings.baseline = std::move(baseline);
  }
  return settings;
}

Result<void> writeResult(const nlohmann::json& result, const std::string& path) {
  constexpr int indent = 2;
  if (path == "-") {
    std::cout << result.dump(indent) << "\n";
    return outcome::success();
  }
  std::ofstream file(path);
  file << result.dump(indent) << "\n";
  file.flush();
  if (!file) {
    return fail(ErrorCode::kUnavailable, absl::StrCat("cannot write ", path));
  }
  return outcome::success();
}

Result<void> writeAll(const LoadSettings& settings, const nlohmann::json& result) {
  BOOST_OUTCOME_TRY(writeResult(result, settings.output));
  if (!settings.report.empty()) {
    BOOST_OUTCOME_TRY(loadgen::writeReport(result, settings.report));
  }
  if (!settings.baseline.is_null()) {
    std::cerr << loadgen::compareWithBaseline(result, settings.baseline);
  }
  return outcome::success();
}

int runWithFlags(const cxxopts::ParseResult& flags) {
  const Result<LoadSettings> settings = readSettings(flags);
  if (settings.has_error()) {
    std::cerr << "quincewick load: " << settings.error().message << "\n";
    return kExitMisuse;
  }
  const LoadSettings& load_settings = settings.value();
  const loadgen::RunRecord record = loadgen::runLoad(load_settings.workload, load_settings.driver);
  const nlohmann::json result =
      loadgen::summarise(load_settings.workload, load_settings.driver, load_settings.description, record);
  const Result<void> written = writeAll(load_settings, result);
  if (written.has_error()) {
    std::cerr << "quincewick load: " << written.error().message << "\n";
    return kExitFailure;
  }
  const uint64_t violations = loadgen::violationCount(result);
  if (violations > 0) {
    std::cerr << "quincewick load: " << violations
              << " violated guarantees; see 'violations' in the result\n";
    return kExitFailure;
  }
  return kExitSuccess;
}

}  // namespace

int runLoadCommand(int argc, char** argv) {
  cxxopts::Options options = makeOptions();
  try {
    const cxxopts::ParseResult flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return kExitSuccess;
    }
    return runWithFlags(flags);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "quincewick load: " << exception.what() << "; see --help\n";
    return kExitMisuse;
  }
}

}  // namespace quincewick::cli
