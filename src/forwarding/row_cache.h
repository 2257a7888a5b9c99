// The rows of one table as one node knows them, from the store or from a peer, for other nodes that ask it in
// the store's place. A node keeps them also while others read: as a reader it then knows what went, and need
// tell changes alone.
//
// Rows that were written again without a change that matters count as unchanged. A row that went is
// remembered for a while; who asks for changes since before that gets all rows. Pure.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "forwarding/dialect.h"

namespace quincewick::forwarding {

// What a node learns of a table with one answer, whoever gave it.
struct TableUpdate {
  std::vector<StoreRow> rows;
  bool is_whole = false;  // the rows are all that the table has
  uint64_t version = 0;   // of the store: all changes up to here are told
  // When the last whole reading that confirms this began; InfinitePast: this confirms nothing.
  absl::Time confirmed = absl::InfinitePast();
  // When the question was asked whose answer told all changes up to `version`: the rows are as they were
  // then, or newer. InfinitePast: not known.
  absl::Time as_of = absl::InfinitePast();
};

class RowCache {
 public:
  // Whether a row that was written again says the same as before.
  using IsSame = std::function<bool(const StoreRow& known, const StoreRow& written)>;

  explicit RowCache(IsSame is_same) : is_same_(std::move(is_same)) {}

  // Takes an answer; returns what of it is news here: all rows at the first whole reading, then
  // changes alone. Answers come over two connections, and the pages of a whole reading one after the other:
  // what is older than what is known of its row is passed over. `update.version` of a whole reading is the
  // store's before its first page.
  TableUpdate take(const TableUpdate& update);

  // Whether there is anything to tell: false until a whole reading was taken.
  bool hasSnapshot() const { return served_version_ > 0; }
  // How many answers were taken: each makes the rows known as of a later time.
  uint64_t readings() const { return readings_; }
  // All changes up to here are known.
  uint64_t version() const { return served_version_; }
  absl::Time confirmed() const { return confirmed_; }
  absl::Time asOf() const { return as_of_; }
  // The last change that matters: who knows this version lacks nothing.
  uint64_t lastChange() const { return last_change_; }

  size_t size() const { return rows_.size(); }
  // Whether those who ask after that version are told all rows.
  bool needsSnapshotSince(uint64_t version) const { return version == 0 || version < forgotten_version_; }
  // What changed after that version; all rows for 0 or where what went is forgotten.
  TableUpdate updateSince(uint64_t version) const;

 private:
  struct CachedRow {
    StoreRow row;
    uint64_t changed = 0;  // the version at which those who ask learn of it
  };
  struct DeletedRow {
    std::string key;
    uint64_t changed = 0;
    uint64_t deleted_version = 0;  // the store's version then
  };

  void applyRows(const TableUpdate& update, uint64_t changed, std::vector<StoreRow>& effect);
  std::vector<StoreRow> missingFrom(const TableUpdate& whole) const;
  // Return whether anything changed.
  bool put(const StoreRow& row, uint64_t changed);
  bool drop(const StoreRow& gone, uint64_t changed);
  void forgetOldestDeletedRow();

  IsSame is_same_;
  absl::btree_map<std::string, CachedRow> rows_;  // by key
  std::deque<DeletedRow> deleted_rows_;
  absl::flat_hash_map<std::string, uint64_t>
      deleted_versions_;            // the store's version then, newest for each row
  uint64_t forgotten_version_ = 0;  // what went up to here is not told any more
  // What those who ask are told to have. It goes ahead of the store's where a whole reading shows a change
  // that the changes before it left out.
  uint64_t served_version_ = 0;
  uint64_t last_change_ = 0;
  uint64_t readings_ = 0;
  absl::Time confirmed_ = absl::InfinitePast();
  absl::Time as_of_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
