// When each version of weights was named, kept in a table of the store: a gateway that starts later knows by
// when engines must have it. The zone's reader reads the table and passes it on, as it does the operator's.
#pragma once

#include <functional>

#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/refused_rows.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

class WeightsRecord {
 public:
  explicit WeightsRecord(Core& core) : core_(core), store_(core), refused_rows_(core, kTable) {}

  static constexpr const char* kTable = "gateway-weights";

  // Takes what was recorded, whoever read it.
  void take(const forwarding::TableNews& update);
  // A version was named just now, as the store told. `written`: the table has the row, whoever wrote it.
  void record(const forwarding::NamedWeights& weights, std::function<void()> written);

 private:
  Core& core_;
  StoreClient store_;
  RefusedRows refused_rows_;
};

}  // namespace quincewick::gateway
