#include "types/block_key.h"

#include <absl/strings/str_format.h>

namespace quincewick {

std::string blockKeyToHex(const BlockKey& key) {
  return absl::StrFormat("%016x%016x", key.high, key.low);
}

}  // namespace quincewick
