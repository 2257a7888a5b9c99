// `quincewick check FILE...`: validates settings and policy files and lists their errors.
#pragma once

namespace quincewick::cli {

// Returns the exit code: 0 if all files are valid, 2 if a file has errors or the arguments are invalid.
int runCheckCommand(int argc, char** argv);

}  // namespace quincewick::cli
