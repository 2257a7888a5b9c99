// `quincewick check FILE...`: reads settings and policy files and lists their faults.
#pragma once

namespace quincewick::cli {

// Returns the exit code: 0 when all files are fine, 2 when one has faults or the arguments are misused.
int runCheckCommand(int argc, char** argv);

}  // namespace quincewick::cli
