// `quincewick demo`.
#pragma once

namespace quincewick::cli {

// Runs a small deployment in this process, sends it live requests, prints what happened and what to try next.
// Returns the exit status.
int runDemoCommand(int argc, char** argv);

}  // namespace quincewick::cli
