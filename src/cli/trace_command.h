// `quincewick trace`: collects the log events of one request from the logs of several gateways.
#pragma once

namespace quincewick::cli {

// Returns the exit code: 0 success; 1 if no event of the request was found; 2 invalid arguments or an
// unreadable file.
int runTraceCommand(int argc, char** argv);

}  // namespace quincewick::cli
