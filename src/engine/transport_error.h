// Failures of the HTTP client library as typed errors.
#pragma once

#include <httplib.h>

#include <optional>
#include <string>

#include "types/error.h"

namespace quincewick::engine {

// kUnavailable, with Execution::kNotRun only where no connection came to be, so that no byte can have left.
Error transportError(const std::string& peer, httplib::Error error);

// The error of a response that is no answer; what ran is unknown then. Nothing for an answer.
std::optional<Error> responseError(const std::string& peer, const httplib::Response& response);

}  // namespace quincewick::engine
