// A node's copy of one table of the store, received from the store or from a peer, from which it answers the
// requests of other nodes in the store's place. Followers maintain it as well: a follower that becomes the
// zone reader then knows which rows were deleted and can answer with deltas.
//
// The store may be restored from an older copy and assign versions again, so versions alone don't order rows:
// a snapshot, or a peer's response, whose request was sent after a row was received replaces the row whatever
// its version. Versions order the rest (docs/design/store_restores.md).
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
  // RowCache::digest() of the sender's copy; nothing in responses of the store and of earlier builds.
  std::optional<uint64_t> digest = std::nullopt;
  // Whether rows that are missing from a snapshot are kept, because their writers may write them again.
  bool keeps_missing = false;
};

enum class PassOverReason : uint8_t {
  kEarlierVersion,  // the known row, or its deletion, has a later version, and the reads overlap
  kLowerRank,       // the operator's own numbering of the known row is higher
  kNotRenewed,      // it reappeared with an earlier version than its deletion and wasn't written since
};

// A row of a response that wasn't applied.
struct PassedOverRow {
  std::string key;
  uint64_t version = 0;  // 0: the row is missing from the response
  uint64_t known_version = 0;
  PassOverReason reason = PassOverReason::kEarlierVersion;
};

// What a response changed in a copy.
struct AppliedUpdate {
  // All rows for the first snapshot, only changes afterwards. `confirmed` is InfinitePast, and `as_of` that
  // of the copy, if the response doesn't prove that the copy is as recent.
  TableUpdate changes;
  std::vector<PassedOverRow> passed_over;
  // Rows that were replaced or deleted although their version is later: the store lost acknowledged writes.
  size_t superseded = 0;
  absl::Time last_superseded = absl::InfinitePast();  // when the last one of them had been received
  // The copy differs from the sender's in a way that its deltas don't repair.
  bool needs_snapshot = false;
};

struct RowCacheRules {
  // A hash of what matters of a row's key, value and version: rows with equal hashes are equivalent.
  std::function<uint64_t(const StoreRow& row)> content;
  // The operator's own numbering of the row's successive values; nothing if it has none. A row is never
  // replaced by one of a lower rank, and a row with a rank is never deleted.
  std::function<std::optional<uint64_t>(const StoreRow& row)> rank;
  // Whether writers rewrite their rows periodically, so that a reappearing row counts once it is rewritten.
  bool is_renewed = false;
};

class RowCache {
 public:
  explicit RowCache(RowCacheRules rules) : rules_(std::move(rules)) {}

  // Applies a response that was received at `now`. For a snapshot from the store, `update.version` is the
  // store's version before the first page.
  AppliedUpdate take(const TableUpdate& update, absl::Time now);

  // A restore of the store was noticed: responses of the store that are taken from now on are later than what
  // is known. Those to requests that may have been answered before the restore must not be taken any more.
  void noteRestore(absl::Time now) { restore_noticed_ = now; }

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
  // Sum of the content hashes of all rows: equal for copies with equivalent rows.
  uint64_t digest() const { return digest_; }

  size_t size() const { return rows_.size(); }
  // Whether a request for changes since `version` has to be answered by a snapshot.
  bool needsSnapshotSince(uint64_t version) const { return version == 0 || version < forgotten_version_; }
  // The changes since `version`, or a snapshot if needsSnapshotSince(version).
  TableUpdate updateSince(uint64_t version) const;

 private:
  struct CachedRow {
    StoreRow row;
    uint64_t changed = 0;  // the served version that includes the change
    absl::Time received;
    uint64_t content = 0;
    std::optional<uint64_t> rank;
  };
  struct DeletedRow {
    std::string key;
    uint64_t changed = 0;
    uint64_t deleted_version = 0;  // the store's version at the deletion
  };
  // The latest deletion of a row.
  struct Deletion {
    uint64_t version = 0;  // of the store
    absl::Time received;
    uint64_t reappeared_version = 0;  // of a row that waits to be renewed; 0: none
  };
  // The response being applied.
  struct Step {
    const TableUpdate& update;
    absl::Time now;
    uint64_t changed;  // the served version that includes its changes
    AppliedUpdate& effect;
  };

  // Whether the response shows a later state than what was received then, by any version.
  bool isLater(const TableUpdate& update, absl::Time received) const;
  void applyRows(const Step& step);
  std::vector<StoreRow> missingFrom(const TableUpdate& snapshot) const;
  // Both return whether anything changed.
  bool put(const StoreRow& row, const Step& step);
  bool replace(CachedRow& known, const StoreRow& row, const Step& step);
  bool drop(const StoreRow& gone, const Step& step);
  // Whether the row's deletion still hides it.
  bool isHidden(const StoreRow& row, const Step& step);
  static void noteSuperseded(absl::Time received, const Step& step);
  void rememberDeletion(const StoreRow& gone, bool is_later, const Step& step);
  void forgetOldestDeletedRow();
  void noteFreshness(const TableUpdate& update, AppliedUpdate& effect, absl::Time now);
  bool isProven(const TableUpdate& update, const AppliedUpdate& effect) const;

  RowCacheRules rules_;
  absl::btree_map<std::string, CachedRow> rows_;  // by key
  std::deque<DeletedRow> deleted_rows_;
  absl::flat_hash_map<std::string, Deletion> deletions_;  // by key
  uint64_t forgotten_version_ = 0;                        // deletions up to this version are no longer known
  // The version that is reported to peers. It runs ahead of the store's version if a snapshot contains a
  // change that the preceding deltas left out, and after a restore of the store.
  uint64_t served_version_ = 0;
  uint64_t last_change_ = 0;
  uint64_t update_count_ = 0;
  uint64_t digest_ = 0;
  absl::Time confirmed_ = absl::InfinitePast();
  absl::Time as_of_ = absl::InfinitePast();
  absl::Time restore_noticed_ = absl::InfinitePast();
  absl::Time last_changed_at_ = absl::InfinitePast();
  absl::Time differs_since_ = absl::InfiniteFuture();  // from the sender's copy
};

}  // namespace quincewick::forwarding
