// `quincewick serve`.
#pragma once

namespace quincewick::cli {

// Runs one node until SIGTERM or SIGINT, which begin a planned stop. Returns the exit status.
int runServeCommand(int argc, char** argv);

}  // namespace quincewick::cli
