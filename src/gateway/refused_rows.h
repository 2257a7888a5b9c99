// Rows of a table that can't be used, each told once in the log: others write them again and again.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

#include "gateway/core.h"

namespace quincewick::gateway {

class RefusedRows {
 public:
  RefusedRows(Core& core, std::string_view table) : core_(core), table_(table) {}

  // The row can't be used. Tells of it where it could be until now, or for another reason.
  void note(const std::string& key, const std::string& why);
  // The row can be used, or is gone.
  void forget(const std::string& key) { refused_.erase(key); }

 private:
  Core& core_;
  std::string table_;
  absl::flat_hash_map<std::string, std::string> refused_;  // why, by key
};

}  // namespace quincewick::gateway
