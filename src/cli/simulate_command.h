// The subcommand `quincewick simulate`.
#pragma once

namespace quincewick::cli {

// Simulates a site on virtual time and prints a report. `argv[0]` is the subcommand's name. Returns the exit
// status: 0, 1 if a promise was violated, 2 on misuse.
int runSimulateCommand(int argc, char** argv);

}  // namespace quincewick::cli
