// SHA-256 as text.
#pragma once

#include <string>
#include <string_view>

namespace quincewick::node {

// 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

}  // namespace quincewick::node
