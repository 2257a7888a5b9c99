// `quincewick emulate`: starts all emulated servers of a settings file.
#pragma once

namespace quincewick::cli {

// Runs until SIGINT or SIGTERM. Returns the exit code: 0 after a stop, 1 if an address can't be bound, 2 for
// invalid flags or an invalid file.
int runEmulateCommand(int argc, char** argv);

}  // namespace quincewick::cli
