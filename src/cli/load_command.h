// `quincewick load`: generates callers' traffic and reports the results as the callers observed them.
#pragma once

namespace quincewick::cli {

// Returns the exit code: 0 success; 1 if a guarantee was violated or a file can't be written; 2 invalid
// arguments.
int runLoadCommand(int argc, char** argv);

}  // namespace quincewick::cli
