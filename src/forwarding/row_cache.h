// A node's copy of one table of the store, received from the store or from a peer, from which it answers the
// requests of other nodes in the store's place. Followers maintain it as well: a follower that becomes the
// zone reader then knows which rows were deleted and can answer with deltas.
//
// A row that was rewritten without a relevant change counts as unchanged. Deleted rows are remembered for a
// while; a request for changes since an earlier version gets a snapshot. Performs no I/O.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "forwarding/dialect.h"

namespace quincewick::forwarding {

// A row of a response that wasn't applied because the known row, or its deletion, has a later version.
struct PassedOverRow {
  std::string key;
  uint64_t version = 0;
  uint64_t known_version = 0;
};

// The content of one response about a table, from the store or a peer.
struct TableUpdate {
  std::vector<StoreRow> rows;
  bool is_whole = false;  // true: a snapshot of the table; false: a delta
  uint64_t version = 0;   // of the store: all changes up to this version are included
  // The start of the last snapshot read that confirms these rows; InfinitePast if this confirms nothing.
  absl::Time confirmed = absl::InfinitePast();
  // When the request was sent whose response included all changes up to `version`: the rows are at least as
  // recent as this. InfinitePast if unknown.
  absl::Time as_of = absl::InfinitePast();
  // Of an effect: rows of the response that were not applied.
  std::vector<PassedOverRow> passed_over = {};
};

class RowCache {
 public:
  // Whether a rewritten row is equivalent to the known one.
  using IsSame = std::function<bool(const StoreRow& known, const StoreRow& written)>;

  explicit RowCache(IsSame is_same) : is_same_(std::move(is_same)) {}

  // Applies a response and returns what it changed here: all rows for the first snapshot, only changes
  // afterwards. Responses arrive over two connections, and a snapshot is read page by page, so a row older
  // than the known one is ignored. For a snapshot, `update.version` is the store's version before the first
  // page.
  TableUpdate take(const TableUpdate& update);

  // Whether a snapshot has been applied; before that there is nothing to serve.
  bool hasSnapshot() const { return served_version_ > 0; }
  // The number of applied responses: each confirms the rows as of a later time.
  uint64_t updateCount() const { return update_count_; }
  // All changes up to this version are known.
  uint64_t version() const { return served_version_; }
  absl::Time confirmed() const { return confirmed_; }
  absl::Time asOf() const { return as_of_; }
  // The version of the last relevant change: a peer that knows this version is up to date.
  uint64_t lastChange() const { return last_change_; }

  size_t size() const { return rows_.size(); }
  // Whether a request for changes since `version` has to be answered by a snapshot.
  bool needsSnapshotSince(uint64_t version) const { return version == 0 || version < forgotten_version_; }
  // The changes since `version`, or a snapshot if needsSnapshotSince(version).
  TableUpdate updateSince(uint64_t version) const;

 private:
  struct CachedRow {
    StoreRow row;
    uint64_t changed = 0;  // the served version that includes the change
  };
  struct DeletedRow {
    std::string key;
    uint64_t changed = 0;
    uint64_t deleted_version = 0;  // the store's version at the deletion
  };

  void applyRows(const TableUpdate& update, uint64_t changed, TableUpdate& effect);
  std::vector<StoreRow> missingFrom(const TableUpdate& snapshot) const;
  // The version of the known row, or of its deletion, if it is later than the row's; otherwise nothing.
  std::optional<uint64_t> laterVersionOf(const StoreRow& row) const;
  // Both return whether anything changed.
  bool put(const StoreRow& row, uint64_t changed);
  bool drop(const StoreRow& gone, uint64_t changed);
  void forgetOldestDeletedRow();

  IsSame is_same_;
  absl::btree_map<std::string, CachedRow> rows_;  // by key
  std::deque<DeletedRow> deleted_rows_;
  // By key: the store's version at the latest deletion of the row.
  absl::flat_hash_map<std::string, uint64_t> deleted_versions_;
  uint64_t forgotten_version_ = 0;  // deletions up to this version are no longer known
  // The version that is reported to peers. It runs ahead of the store's version if a snapshot contains a
  // change that the preceding deltas left out.
  uint64_t served_version_ = 0;
  uint64_t last_change_ = 0;
  uint64_t update_count_ = 0;
  absl::Time confirmed_ = absl::InfinitePast();
  absl::Time as_of_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
