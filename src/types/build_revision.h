// Which sources this program was built from.
#pragma once

#include <string_view>

namespace quincewick {

// The abbreviated id of the commit that was checked out when the build was configured, "unknown" outside a
// repository.
std::string_view buildRevision();

}  // namespace quincewick
