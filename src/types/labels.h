// Labels that operators attach to tenants, request kinds and back ends.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/strings/string_view.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace quincewick {

// A set of labels, each a key with one value, in key order.
class Labels {
 public:
  Labels() = default;
  Labels(std::initializer_list<std::pair<std::string, std::string>> entries)
      : entries_(entries.begin(), entries.end()) {}

  // Sets the key's value, replacing an earlier one.
  void set(std::string key, std::string value) {
    entries_.insert_or_assign(std::move(key), std::move(value));
  }

  // The key's value, or nothing. The view lives as long as this object is unchanged.
  std::optional<std::string_view> get(std::string_view key) const {
    const auto entry = entries_.find(absl::string_view(key.data(), key.size()));
    if (entry == entries_.end()) {
      return std::nullopt;
    }
    return entry->second;
  }

  const absl::btree_map<std::string, std::string>& entries() const { return entries_; }

  friend bool operator==(const Labels&, const Labels&) = default;

 private:
  absl::btree_map<std::string, std::string> entries_;
};

}  // namespace quincewick
