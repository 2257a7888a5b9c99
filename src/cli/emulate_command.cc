#include "cli/emulate_command.h"

#include <absl/time/clock.h>
#include <pthread.h>
#include <signal.h>

#include <algorithm>
#include <cerrno>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "emulator/emulated_site.h"

namespace quincewick::cli {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitMisuse = 2;
constexpr absl::Duration kMaxSignalWait = absl::Seconds(60);

// Reads and parses a file. Prints its errors and returns std::nullopt if it has any.
template <class T>
std::optional<T> readFile(const std::string& file, configuration::Parsed<T> (*parse)(const std::string&)) {
  std::ifstream input(file);
  if (!input) {
    std::cerr << file << ": can't be read\n";
    return std::nullopt;
  }
  const std::string text((std::istreambuf_iterator<char>(input)), std::istreambuf_iterator<char>());
  configuration::Parsed<T> parsed = parse(text);
  if (!parsed.ok()) {
    std::cerr << configuration::printDiagnostics(file, parsed.diagnostics) << "\n";
  }
  return std::move(parsed.value);
}

// Blocks SIGINT and SIGTERM, so that only waitForStop receives them. Threads inherit the mask: call before
// any thread is started.
sigset_t blockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Waits for a stop signal until `deadline`, at most kMaxSignalWait. Returns true if one was received.
bool waitForStop(const sigset_t& signals, absl::Time deadline) {
  const absl::Duration wait = std::clamp(deadline - absl::Now(), absl::ZeroDuration(), kMaxSignalWait);
  const timespec timeout = absl::ToTimespec(wait);
  return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

// Injects the faults at their scheduled times until a stop signal is received.
void runUntilStopped(emulator::EmulatedSite& site, std::vector<emulator::ScheduledFault> faults,
                     const sigset_t& signals) {
  const absl::Time start = absl::Now();
  std::stable_sort(faults.begin(), faults.end(),
                   [](const auto& left, const auto& right) { return left.at < right.at; });
  size_t next = 0;
  while (true) {
    const bool more = next < faults.size();
    if (waitForStop(signals, more ? start + faults[next].at : absl::InfiniteFuture())) {
      return;
    }
    for (; next < faults.size() && start + faults[next].at <= absl::Now(); ++next) {
      const emulator::ScheduledFault& fault = faults[next];
      const Result<void> injected = site.inject(fault.target, fault);
      std::cout << "fault " << emulator::faultKindName(fault.kind) << " " << fault.target << " "
                << (injected ? "injected" : injected.error().message) << std::endl;
    }
  }
}

cxxopts::Options makeOptions() {
  cxxopts::Options options("quincewick emulate", "Starts the emulated servers of one site on this machine.");
  cxxopts::OptionAdder add = options.add_options();
  add("settings", "the site's settings (YAML)", cxxopts::value<std::string>());
  add("faults", "faults to inject while it runs (YAML)", cxxopts::value<std::string>());
  add("check", "only check the files");
  add("help", "show this text");
  return options;
}

int run(const cxxopts::ParseResult& arguments) {
  const auto settings = readFile(arguments["settings"].as<std::string>(), emulator::parseSiteSettings);
  std::optional<emulator::FaultSchedule> schedule = emulator::FaultSchedule();
  if (arguments.count("faults") > 0) {
    schedule = readFile(arguments["faults"].as<std::string>(), emulator::parseFaultSchedule);
  }
  if (!settings || !schedule) {
    return kExitMisuse;
  }
  if (arguments.count("check") > 0) {
    return kExitSuccess;
  }
  const sigset_t signals = blockStopSignals();
  emulator::EmulatedSite site(*settings);
  const Result<void> started = site.start();
  if (!started) {
    std::cerr << "quincewick emulate: " << started.error().message << "\n";
    return kExitFailure;
  }
  for (const emulator::EmulatedSite::Listening& listening : site.listening()) {
    std::cout << listening.kind << " " << listening.id << " " << listening.address.host << ":"
              << listening.address.port << std::endl;
  }
  runUntilStopped(site, std::move(schedule->faults), signals);
  site.stop();
  return kExitSuccess;
}

}  // namespace

int runEmulateCommand(int argc, char** argv) {
  cxxopts::Options options = makeOptions();
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return kExitSuccess;
    }
    if (arguments.count("settings") == 0 || !arguments.unmatched().empty()) {
      std::cerr << "quincewick emulate: expected --settings FILE [--faults FILE]\n";
      return kExitMisuse;
    }
    return run(arguments);
  } catch (const std::exception& exception) {
    std::cerr << "quincewick emulate: " << exception.what() << "\n";
    return kExitMisuse;
  }
}

}  // namespace quincewick::cli
