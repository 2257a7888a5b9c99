// `quincewick simulate`: runs a simulated site on virtual time.
#pragma once

namespace quincewick::cli {

// Simulates a site on virtual time and prints a report. `argv[0]` is the subcommand's name. Returns the exit
// code: 0 success; 1 if a guarantee was violated; 2 invalid arguments.
int runSimulateCommand(int argc, char** argv);

}  // namespace quincewick::cli
