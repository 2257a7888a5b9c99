#include "types/address_text.h"

#include <absl/strings/str_cat.h>

#include "types/http_message.h"

namespace quincewick {

std::string printAddress(const Address& address) {
  return absl::StrCat(address.host, ":", address.port);
}

std::optional<Address> parseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<uint64_t> port = parseUnsigned(text.substr(colon + 1));
  if (!port || *port > UINT16_MAX) {
    return std::nullopt;
  }
  return Address{std::string(text.substr(0, colon)), static_cast<uint16_t>(*port)};
}

}  // namespace quincewick
