// What checks of several promises share. Pure.
#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

#include "history.h"

namespace quincewick::soak {

void addViolation(PromiseResult& result, std::string description, const std::string& attempt);

// `include_planned`: stops in good order count.
bool isDisturbed(const History& history, const std::string& gateway, absl::Time begin, absl::Time end,
                 bool include_planned);

// How many of the sorted times lie in the window.
size_t countWithin(const std::vector<absl::Time>& times, absl::Time begin, absl::Duration width);

}  // namespace quincewick::soak
