// Ends long-running commands on SIGINT and SIGTERM.
#pragma once

#include <absl/time/time.h>

namespace quincewick::cli {

// From now on the two signals only set a flag.
void catchInterrupts();

// Waits until one of the signals has come, at most for `limit`.
void waitForInterrupt(absl::Duration limit);

}  // namespace quincewick::cli
