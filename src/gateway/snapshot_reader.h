// Reads a table of the store whole, page by page.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "gateway/core.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

struct TableSnapshot {
  std::vector<forwarding::StoreRow> rows;
  // The store's before the first page: a row of it may change while later ones are read, and the changes
  // since are told after this version.
  uint64_t version = 0;
  absl::Duration clock;  // the store's, at the last page
};

class SnapshotReader {
 public:
  // `table` is whole if the status is kDone.
  using Done = std::function<void(StoreStatus status, TableSnapshot table)>;

  explicit SnapshotReader(Core& core) : store_(core) {}

  // `page_limit`: how long a page may take.
  void read(const std::string& table, Done done, absl::Duration page_limit = StoreClient::kCallLimit);
  // What is under way is not told any more.
  void cancel() { ++generation_; }

 private:
  void readPage(const std::string& name, const std::string& from, absl::Duration limit, TableSnapshot table,
                Done done);

  StoreClient store_;
  uint64_t generation_ = 0;  // rises with each reading and cancellation
};

}  // namespace quincewick::gateway
