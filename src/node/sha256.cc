#include "node/sha256.h"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

#include <array>

namespace quincewick::node {

std::string sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

}  // namespace quincewick::node
