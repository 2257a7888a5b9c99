#include "http/bearer_key.h"

#include <string_view>

namespace quincewick::http {

std::string bearerKey(const httplib::Request& request) {
  constexpr std::string_view prefix = "Bearer ";
  const std::string value = request.get_header_value("Authorization");
  return value.starts_with(prefix) ? value.substr(prefix.size()) : "";
}

}  // namespace quincewick::http
