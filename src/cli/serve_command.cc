#include "cli/serve_command.h"

#include <glog/logging.h>

#include <unistd.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <optional>
#include <string>

#include "cli/exit_codes.h"
#include "cli/interrupt.h"
#include "cli/text_file.h"
#include "configuration/node_settings.h"
#include "configuration/policy.h"
#include "gateway/gateway.h"
#include "node/node.h"
#include "platform/platform_dialect.h"
#include "reactor/stall_guard.h"

namespace quincewick::cli {
namespace {

// Processor time of one turn of a gateway's reactor, after which the process is ended.
constexpr absl::Duration kMaxTurnProcessorTime = absl::Seconds(2);

// Reads and parses a file. Prints its errors and returns std::nullopt if it has any.
template <class T>
std::optional<T> parseFile(const std::string& path, configuration::Parsed<T> (*parse)(const std::string&)) {
  const Result<std::string> text = readTextFile(path);
  if (text.has_error()) {
    std::fprintf(stderr, "quincewick serve: %s\n", text.error().message.c_str());
    return std::nullopt;
  }
  configuration::Parsed<T> parsed = parse(text.value());
  if (!parsed.ok()) {
    std::fprintf(stderr, "%s\n", configuration::printDiagnostics(path, parsed.diagnostics).c_str());
  }
  return std::move(parsed.value);
}

void setLogLevel(configuration::LogLevel level) {
  switch (level) {
    case configuration::LogLevel::kDebug:
      FLAGS_v = 1;
      break;
    case configuration::LogLevel::kInfo:
      break;
    case configuration::LogLevel::kWarning:
      FLAGS_minloglevel = google::GLOG_WARNING;
      break;
    case configuration::LogLevel::kError:
      FLAGS_minloglevel = google::GLOG_ERROR;
      break;
  }
}

int serve(const configuration::NodeSettings& settings, std::optional<configuration::Policy> initial_policy) {
  node::Node node(settings, std::move(initial_policy));
  const Result<node::NodePorts> ports = node.start();
  if (ports.has_error()) {
    std::fprintf(stderr, "quincewick serve: %s\n", ports.error().message.c_str());
    return kExitFailure;
  }
  waitForInterrupt(absl::InfiniteDuration());
  node.drain(membership::DrainSettings());
  node.stop();
  return kExitSuccess;
}

// A gateway handles signals on its own reactor, so catchInterrupts() is not called for it.
int serveGateway(const std::string& settings_file, const std::string& text) {
  configuration::Parsed<gateway::GatewaySettings> settings = gateway::parseGatewaySettings(text);
  if (!settings.ok()) {
    std::fprintf(stderr, "%s\n",
                 configuration::printDiagnostics(settings_file, settings.diagnostics).c_str());
    return kExitMisuse;
  }
  const auto reload_settings = [settings_file]() -> std::optional<gateway::GatewaySettings> {
    const Result<std::string> changed = readTextFile(settings_file);
    return changed.has_value() ? gateway::parseGatewaySettings(changed.value()).value : std::nullopt;
  };
  gateway::Gateway gateway(std::move(*settings.value), platform_dialect::makePlatformDialect(),
                           STDOUT_FILENO);
  gateway.setReload(reload_settings);
  reactor::StallGuard stall_guard(kMaxTurnProcessorTime, STDERR_FILENO);
  if (const Result<void> guarded = stall_guard.start(); guarded.has_error()) {
    std::fprintf(stderr, "quincewick serve: goes on without a stall guard: %s\n",
                 guarded.error().message.c_str());
  }
  gateway.setTickObserver([&stall_guard] { stall_guard.reset(); });
  const Result<void> started = gateway.start();
  if (started.has_error()) {
    std::fprintf(stderr, "quincewick serve: %s\n", started.error().message.c_str());
    return kExitFailure;
  }
  gateway.run();
  return kExitSuccess;
}

int serveSettingsFile(const std::string& settings_file) {
  const Result<std::string> text = readTextFile(settings_file);
  if (text.has_value() && gateway::looksLikeGatewaySettings(text.value())) {
    return serveGateway(settings_file, text.value());
  }
  catchInterrupts();
  const auto settings = parseFile(settings_file, configuration::parseNodeSettings);
  if (!settings.has_value()) {
    return kExitMisuse;
  }
  setLogLevel(settings->log_level);
  std::optional<configuration::Policy> initial_policy;
  if (settings->initial_policy_file.has_value()) {
    initial_policy = parseFile(*settings->initial_policy_file, configuration::parsePolicy);
    if (!initial_policy.has_value()) {
      return kExitMisuse;
    }
  }
  return serve(*settings, std::move(initial_policy));
}

}  // namespace

int runServeCommand(int argc, char** argv) {
  cxxopts::Options options("quincewick serve", "Runs one node or gateway until SIGTERM or SIGINT.");
  options.add_options()("settings", "the node's settings file", cxxopts::value<std::string>())("help",
                                                                                               "print this");
  try {
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::puts(options.help().c_str());
      return kExitSuccess;
    }
    if (flags.count("settings") == 0) {
      std::fputs("quincewick serve: --settings FILE is required\n", stderr);
      return kExitMisuse;
    }
    return serveSettingsFile(flags["settings"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "quincewick serve: %s\n", error.what());
    return kExitMisuse;
  }
}

}  // namespace quincewick::cli
