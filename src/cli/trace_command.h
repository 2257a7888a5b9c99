// `quincewick trace`: the way of one request through the logs of several gateways.
#pragma once

namespace quincewick::cli {

int runTraceCommand(int argc, char** argv);

}  // namespace quincewick::cli
