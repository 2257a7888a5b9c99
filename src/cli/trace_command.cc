#include "cli/trace_command.h"

#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cli/exit_codes.h"
#include "telemetry/event_lines.h"

namespace quincewick::cli {
namespace {

void printTable(const telemetry::RequestTrace& trace) {
  for (const telemetry::EventLine& line : trace.lines) {
    std::printf("%s  %-16s %-14s", line.value("time_ms").c_str(), line.value("node").c_str(),
                line.value("event").c_str());
    for (const auto& [name, value] : line.fields) {
      const bool is_shown = name != "event" && name != "node" && name != "time_ms" && name != "request";
      if (is_shown) {
        std::printf(" %s=%s", name.c_str(), value.c_str());
      }
    }
    std::puts("");
  }
}

void printJson(const std::string& request, const telemetry::RequestTrace& trace) {
  nlohmann::json lines = nlohmann::json::array();
  for (const telemetry::EventLine& line : trace.lines) {
    nlohmann::json object;
    for (const auto& [name, value] : line.fields) {
      object[name] = value;
    }
    lines.push_back(std::move(object));
  }
  const nlohmann::json out = {{"request", request},
                              {"lines", lines},
                              {"events_read", trace.events_read},
                              {"broken_lines", trace.broken_lines}};
  std::puts(out.dump(2).c_str());
}

int trace(const std::string& request, const std::vector<std::string>& files, bool as_json) {
  telemetry::TraceCollector collector(request);
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) {
      std::fprintf(stderr, "quincewick trace: %s can't be read\n", file.c_str());
      return kExitMisuse;
    }
    for (std::string line; std::getline(in, line);) {
      collector.take(line);
    }
  }
  const telemetry::RequestTrace found = collector.finish();
  if (as_json) {
    printJson(request, found);
  } else {
    printTable(found);
  }
  if (found.broken_lines > 0) {
    std::fprintf(stderr, "quincewick trace: %llu lines could not be read\n",
                 static_cast<unsigned long long>(found.broken_lines));
  }
  if (found.lines.empty()) {
    std::fprintf(stderr, "quincewick trace: no line of request %s among %llu events\n", request.c_str(),
                 static_cast<unsigned long long>(found.events_read));
    return kExitFailure;
  }
  return kExitSuccess;
}

}  // namespace

int runTraceCommand(int argc, char** argv) {
  cxxopts::Options options("quincewick trace", "Gathers the log lines of one request, in order.");
  options.positional_help("REQUEST FILE...");
  options.add_options()("help", "print this")("output", "table or json",
                                              cxxopts::value<std::string>()->default_value("table"))(
      "words", "the request's id, then log files", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  try {
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::puts(options.help().c_str());
      return kExitSuccess;
    }
    const std::string output = flags["output"].as<std::string>();
    const auto words =
        flags.count("words") > 0 ? flags["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    if (words.size() < 2 || (output != "table" && output != "json")) {
      std::fputs("quincewick trace: expected REQUEST FILE... and --output table or json\n", stderr);
      return kExitMisuse;
    }
    return trace(words.front(), {words.begin() + 1, words.end()}, output == "json");
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "quincewick trace: %s\n", error.what());
    return kExitMisuse;
  }
}

}  // namespace quincewick::cli
