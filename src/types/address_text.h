// Addresses as "HOST:PORT".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "types/back_end.h"

namespace quincewick {

std::string printAddress(const Address& address);
// Returns nothing if the port is missing or out of range.
std::optional<Address> parseAddress(std::string_view text);

}  // namespace quincewick
