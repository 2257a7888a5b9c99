// `quincewick demo`: runs a small deployment and sends example requests to it.
#pragma once

namespace quincewick::cli {

// Runs a small deployment in this process, sends requests to it, and prints the results and commands to try
// next. Returns the exit code.
int runDemoCommand(int argc, char** argv);

}  // namespace quincewick::cli
