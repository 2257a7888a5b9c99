// Rows of a table, compressed: a zone's followers all get the whole list of servers at a start, over one
// reader's link.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "forwarding/dialect.h"
#include "types/error.h"

namespace quincewick::gateway {

std::string packRows(const std::vector<forwarding::StoreRow>& rows);
// Unpacks untrusted bytes; what would take more memory than the largest table is refused. Errors:
// kInvalidArgument.
Result<std::vector<forwarding::StoreRow>> unpackRows(std::string_view bytes);

}  // namespace quincewick::gateway
