// Reads a snapshot of a table of the store, page by page.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

struct TableSnapshot {
  std::vector<forwarding::StoreRow> rows;
  // The store's version as of the first page. Rows may change while later pages are read; these changes are
  // part of the deltas after this version.
  uint64_t version = 0;
  // The store's clock at the last page. PeerDirectory derives this gateway's incarnation from it.
  absl::Duration clock;
};

// The snapshot as an update of a copy of the table. `began`: when the read began.
forwarding::TableUpdate updateFrom(TableSnapshot snapshot, absl::Time began);

class SnapshotReader {
 public:
  // `table` is complete if the status is kDone, otherwise empty. kUnknown also if the store was restored
  // between two pages.
  using Done = std::function<void(StoreStatus status, TableSnapshot table)>;

  explicit SnapshotReader(Core& core) : core_(core), store_(core) {}

  // `page_limit`: timeout of each page.
  void read(const std::string& table, Done done, absl::Duration page_limit = StoreClient::kCallLimit);
  // Cancels the read in progress: `done` is not called.
  void cancel() { ++generation_; }

 private:
  void readPage(const std::string& name, const std::string& from, absl::Duration limit, TableSnapshot table,
                Done done);

  Core& core_;
  StoreClient store_;
  uint64_t restores_ = 0;    // of the store, when the first page was read
  uint64_t generation_ = 0;  // incremented with each read and cancellation, to discard late responses
};

}  // namespace quincewick::gateway
