// Quarantined requests, which crash servers, in a table of the store, so that a site whose gateways all lost
// power still knows them. A row is written by the gateway whose evidence was decisive. The table is read by
// gateways that become zone readers.
#pragma once

#include <functional>
#include <set>

#include "forwarding/request_identity.h"
#include "gateway/core.h"
#include "gateway/refused_rows.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

class QuarantineRecord {
 public:
  explicit QuarantineRecord(Core& core) : core_(core), store_(core), refused_rows_(core, kTable) {}

  static constexpr const char* kTable = "gateway-crashes";

  // Writes the request's row, and retries until the store has it.
  void write(const forwarding::RequestIdentity& identity);
  // Reads the table, with retries, and calls `found` for each request in it.
  using Found = std::function<void(const forwarding::RequestIdentity& identity)>;
  void read(Found found);

 private:
  void retryRead(Found found);

  Core& core_;
  StoreClient store_;
  RefusedRows refused_rows_;
  std::set<forwarding::RequestIdentity> known_;  // rows that exist or are being written
};

}  // namespace quincewick::gateway
