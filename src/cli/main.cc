// The quincewick program: selects the subcommand and passes it the remaining arguments.
#include <glog/logging.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <string_view>

#include "cli/check_command.h"
#include "cli/ctl_command.h"
#include "cli/demo_command.h"
#include "cli/emulate_command.h"
#include "cli/exit_codes.h"
#include "cli/load_command.h"
#include "cli/serve_command.h"
#include "cli/simulate_command.h"
#include "cli/trace_command.h"

namespace quincewick::cli {
namespace {

struct Command {
  std::string_view name;
  std::string_view summary;
  int (*run)(int argc, char** argv);  // argv[0] is the subcommand's name
};

constexpr std::array kCommands = {
    Command{"serve", "run one node or gateway", runServeCommand},
    Command{"check", "check settings and policy files", runCheckCommand},
    Command{"ctl", "query and change a running site", runCtlCommand},
    Command{"emulate", "run emulators of engines, action servers and the platform", runEmulateCommand},
    Command{"load", "generate callers' traffic and check every response", runLoadCommand},
    Command{"demo", "run a small deployment in this process on loopback", runDemoCommand},
    Command{"trace", "gather the log lines of one request", runTraceCommand},
    Command{"simulate", "simulate a site on virtual time", runSimulateCommand},
};

void printUsage(std::FILE* out) {
  std::fputs("usage: quincewick COMMAND [OPTIONS]\n\ncommands:\n", out);
  for (const Command& command : kCommands) {
    std::fprintf(out, "  %-10s %s\n", command.name.data(), command.summary.data());
  }
  std::fputs("\n'quincewick COMMAND --help' lists a command's options.\n", out);
}

int runProgram(int argc, char** argv) {
  if (argc < 2) {
    printUsage(stderr);
    return kExitMisuse;
  }
  const std::string_view name = argv[1];
  if (name == "--help" || name == "help") {
    printUsage(stdout);
    return kExitSuccess;
  }
  for (const Command& command : kCommands) {
    if (command.name == name) {
      return command.run(argc - 1, argv + 1);
    }
  }
  std::fprintf(stderr, "quincewick: unknown command '%s'; see 'quincewick --help'\n", argv[1]);
  return kExitMisuse;
}

}  // namespace
}  // namespace quincewick::cli

int main(int argc, char** argv) {
  // SIGHUP (reload the settings) may be received before `serve` handles it, and would then terminate the
  // process by default. Ignoring it loses nothing: the settings are read at startup anyway.
  std::signal(SIGHUP, SIG_IGN);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  return quincewick::cli::runProgram(argc, argv);
}
