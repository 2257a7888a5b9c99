// Logs unusable rows of a table, each only once, because their writers rewrite them periodically.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

#include "gateway/core.h"

namespace quincewick::gateway {

class RefusedRows {
 public:
  RefusedRows(Core& core, std::string_view table) : core_(core), table_(table) {}

  // Records that the row can't be used. Logs it if it was usable before or if the reason changed.
  void note(const std::string& key, const std::string& why);
  // Records that the row can be used, or is gone.
  void forget(const std::string& key) { refused_.erase(key); }

 private:
  Core& core_;
  std::string table_;
  absl::flat_hash_map<std::string, std::string> refused_;  // reasons by key
};

}  // namespace quincewick::gateway
