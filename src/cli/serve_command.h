// `quincewick serve`: runs a node or a gateway.
#pragma once

namespace quincewick::cli {

// Runs one node or gateway, depending on the settings file, until SIGTERM or SIGINT, which start a graceful
// shutdown. Returns the exit code.
int runServeCommand(int argc, char** argv);

}  // namespace quincewick::cli
