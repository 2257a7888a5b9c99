// Records in a table of the store since when each weights version may have been published, so that a gateway
// that starts later knows the deadline by which engines must have it. Zone readers read and relay this table
// like the operator's.
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

  // Applies an update of the table, from the store or from a peer.
  void applyUpdate(const forwarding::TableUpdate& update);
  // Records a version that was published at `published` or later. `written`: called once the table has the
  // row, whoever wrote it.
  void record(const forwarding::NamedWeights& weights, absl::Time published, std::function<void()> written);

 private:
  Core& core_;
  StoreClient store_;
  RefusedRows refused_rows_;
};

}  // namespace quincewick::gateway
