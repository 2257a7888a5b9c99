// Stops long-running commands on SIGINT and SIGTERM.
#pragma once

#include <absl/time/time.h>

namespace quincewick::cli {

// Installs handlers for both signals that only set a flag.
void catchInterrupts();

// Blocks until one of the signals was received, for at most `limit`.
void waitForInterrupt(absl::Duration limit);

}  // namespace quincewick::cli
