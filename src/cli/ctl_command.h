// `quincewick ctl`: the operator's tool against any node.
#pragma once

namespace quincewick::cli {

// Returns the exit code: 0 done; 1 refused, failed or not reached; 2 misuse or a file with faults; 3 another
// operator's change came first; 4 it is not known whether the change was accepted.
int runCtlCommand(int argc, char** argv);

}  // namespace quincewick::cli
