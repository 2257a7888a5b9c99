// The platform's transactional table, in memory.
#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>

#include "types/platform.h"

namespace quincewick::emulator {

// Bounds of one call, as such services set them.
struct TableLimits {
  uint32_t transaction_items = 100;  // conditions plus writes
  uint32_t read_items = 1000;        // keys of a read, items of a scan
  uint32_t value_bytes = 400 * 1024;

  friend bool operator==(const TableLimits&, const TableLimits&) = default;
};

// Applies transactions one at a time, so that each takes effect at once or not at all. Versions come from one
// counter of the whole table: they rise with each write of a key, also over its deletion. Not thread-safe.
class TableModel {
 public:
  explicit TableModel(TableLimits limits = {}) : limits_(limits) {}

  // TableCommitted, TableConflict, or kInvalidArgument when over a limit.
  PlatformResult transact(const TableTransaction& transaction);
  // TableItems in the order of the keys, or kInvalidArgument.
  PlatformResult read(const TableRead& read) const;
  // TableItems in key order.
  PlatformResult scan(const TableScan& scan) const;

  size_t size() const { return items_.size(); }

 private:
  struct Stored {
    std::string value;
    uint64_t version = kAbsentItemVersion;
  };

  TableItem itemOf(const std::string& key) const;
  bool withinLimits(const TableTransaction& transaction) const;

  TableLimits limits_;
  uint64_t last_version_ = kAbsentItemVersion;
  absl::btree_map<std::string, Stored> items_;
};

}  // namespace quincewick::emulator
