// Helpers that the checks of several promises share. No I/O.
#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

#include "history.h"

namespace quincewick::soak {

void addViolation(PromiseResult& result, std::string description, const std::string& attempt);

// `include_planned`: graceful stops count as disturbances.
bool isDisturbed(const History& history, const std::string& gateway, absl::Time begin, absl::Time end,
                 bool include_planned);

// Counts the sorted times in [begin, begin + width).
size_t countWithin(const std::vector<absl::Time>& times, absl::Time begin, absl::Duration width);

}  // namespace quincewick::soak
