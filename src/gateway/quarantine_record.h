// What is quarantined because it crashes servers, in a table of the store, so that a site whose gateways all
// lost power still knows it. A row is written by the gateway whose evidence was decisive. The table is read
// by gateways that become zone readers.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "gateway/core.h"
#include "gateway/refused_rows.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

class QuarantineRecord {
 public:
  QuarantineRecord(Core& core, const char* table)
      : core_(core), store_(core), table_(table), refused_rows_(core, table) {}

  // Writes a row, whatever it held before, and retries until the store has it.
  void write(const std::string& key, const std::string& value);
  // Reads the table, with retries, and calls `found` for each row. `found` returns whether it can be used.
  using Found = std::function<bool(const std::string& key, const std::string& value)>;
  void read(Found found);

 private:
  void retryRead(Found found);

  Core& core_;
  StoreClient store_;
  const char* table_;
  RefusedRows refused_rows_;
  std::map<std::string, std::string> rows_;  // that exist or are being written
};

}  // namespace quincewick::gateway
