// Reads from gateways' logs by which configuration they decided requests, and when it had been confirmed.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>

#include "history.h"

namespace quincewick::soak {

// The version of a configuration as the operator writes it; 0 if the text is none.
uint64_t configurationVersionIn(const std::string& value);

// Adds what the log says of requests since `begin`; an earlier run may have used the same file.
void readConfigurationClaims(const std::string& log_file, absl::Time begin, History& history);

}  // namespace quincewick::soak
