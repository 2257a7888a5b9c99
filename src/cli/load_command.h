// The subcommand `quincewick load`: drives callers' traffic and reports what the callers saw.
#pragma once

namespace quincewick::cli {

// Returns the process's exit status: 0, 1 if a promise was broken or a file can't be written, 2 on misuse.
int runLoadCommand(int argc, char** argv);

}  // namespace quincewick::cli
