// Compresses rows of a table: at a start, all followers of a zone get the complete list of servers over their
// reader's link.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "forwarding/dialect.h"
#include "types/error.h"

namespace quincewick::gateway {

std::string packRows(const std::vector<forwarding::StoreRow>& rows);
// Unpacks untrusted bytes. Errors: kInvalidArgument, also if they would take more memory than the largest
// table.
Result<std::vector<forwarding::StoreRow>> unpackRows(std::string_view bytes);

}  // namespace quincewick::gateway
