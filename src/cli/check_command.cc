#include "cli/check_command.h"

#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "cli/exit_codes.h"
#include "cli/text_file.h"
#include "configuration/node_settings.h"
#include "configuration/policy.h"
#include "gateway/gateway_settings.h"

namespace quincewick::cli {
namespace {

constexpr const char* kNodeIdField = "node_id:";

// A settings file has `node_id` at the top level; a policy never has one.
bool looksLikeNodeSettings(const std::string& text) {
  return text.rfind(kNodeIdField, 0) == 0 || text.find(std::string("\n") + kNodeIdField) != std::string::npos;
}

template <class T>
bool report(const std::string& file, const char* file_kind, const configuration::Parsed<T>& parsed) {
  if (parsed.ok()) {
    std::cout << file << ": ok (" << file_kind << ")\n";
    return true;
  }
  std::cerr << configuration::printDiagnostics(file, parsed.diagnostics) << "\n";
  return false;
}

bool checkFile(const std::string& file) {
  const Result<std::string> text = readTextFile(file);
  if (text.has_error()) {
    std::cerr << text.error().message << "\n";
    return false;
  }
  if (gateway::looksLikeGatewaySettings(text.value())) {
    return report(file, "gateway settings", gateway::parseGatewaySettings(text.value()));
  }
  if (looksLikeNodeSettings(text.value())) {
    return report(file, "settings", configuration::parseNodeSettings(text.value()));
  }
  return report(file, "policy", configuration::parsePolicy(text.value()));
}

}  // namespace

int runCheckCommand(int argc, char** argv) {
  cxxopts::Options options("quincewick check",
                           "Checks settings and policy files and lists all their faults.");
  options.positional_help("FILE...");
  options.add_options()("h,help", "Show this help")("files", "Files to check",
                                                    cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"files"});
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (arguments.count("files") == 0) {
      std::cerr << "quincewick check: expected a file\n";
      return kExitMisuse;
    }
    bool ok = true;
    for (const std::string& file : arguments["files"].as<std::vector<std::string>>()) {
      ok = checkFile(file) && ok;
    }
    return ok ? 0 : kExitMisuse;
  } catch (const std::exception& exception) {
    std::cerr << "quincewick check: " << exception.what() << "\n";
    return kExitMisuse;
  }
}

}  // namespace quincewick::cli
