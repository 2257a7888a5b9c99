// Requests that are to blame for ends of servers, kept in a table of the store: a site whose gateways all
// lost power knows them again. Written by the gateway whose evidence was decisive, read by who begins to read
// the store for its zone.
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

  // Writes the request down, again and again until the store answers.
  void write(const forwarding::RequestIdentity& identity);
  // Calls `found` for each request of the table, once the store has answered.
  using Found = std::function<void(const forwarding::RequestIdentity& identity)>;
  void read(Found found);

 private:
  void retryRead(Found found);

  Core& core_;
  StoreClient store_;
  RefusedRows refused_rows_;
  std::set<forwarding::RequestIdentity> known_;  // rows that are there or on their way
};

}  // namespace quincewick::gateway
