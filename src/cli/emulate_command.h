// `quincewick emulate`: starts all stand-ins of a settings file.
#pragma once

namespace quincewick::cli {

// Runs until SIGINT or SIGTERM. Returns the exit code: 0 after a stop, 1 when an address can't be had, 2 for
// wrong flags or a faulty file.
int runEmulateCommand(int argc, char** argv);

}  // namespace quincewick::cli
