// `quincewick ctl`: the operators' tool, which works through any node.
#pragma once

namespace quincewick::cli {

// Returns the exit code: 0 success; 1 rejected, failed or node not reachable; 2 invalid arguments or an
// invalid file; 3 conflict with another operator's change that was accepted first; 4 it is not known whether
// the change was accepted.
int runCtlCommand(int argc, char** argv);

}  // namespace quincewick::cli
