// Failures of the HTTP client library as typed errors.
#pragma once

#include <httplib.h>

#include <string>

#include "types/error.h"

namespace quincewick::engine {

// kUnavailable, with Execution::kNotRun only where no connection came to be, so that no byte can have left.
Error transportError(const std::string& peer, httplib::Error error);

}  // namespace quincewick::engine
