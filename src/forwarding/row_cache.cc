#include "forwarding/row_cache.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace quincewick::forwarding {
namespace {

constexpr size_t kMaxDeletedRows = 512;

}  // namespace

TableUpdate RowCache::take(const TableUpdate& update) {
  TableUpdate effect;
  effect.is_whole = update.is_whole && !hasSnapshot();
  const uint64_t changed = update.version > served_version_ ? update.version : served_version_ + 1;
  applyRows(update, changed, effect);
  served_version_ = std::max({served_version_, update.version, last_change_});
  if (effect.is_whole) {
    forgotten_version_ = served_version_;  // earlier deletions are unknown
  }
  as_of_ = std::max(as_of_, update.as_of);
  confirmed_ = std::max(confirmed_, update.confirmed);
  ++update_count_;
  effect.version = served_version_;
  effect.confirmed = update.confirmed;
  effect.as_of = as_of_;
  return effect;
}

void RowCache::applyRows(const TableUpdate& update, uint64_t changed, TableUpdate& effect) {
  if (update.is_whole) {
    for (StoreRow& missing : missingFrom(update)) {
      if (drop(missing, changed)) {
        effect.rows.push_back(std::move(missing));
      }
    }
  }
  for (const StoreRow& row : update.rows) {
    if (const auto known_version = laterVersionOf(row)) {
      effect.passed_over.push_back({row.key, row.version, *known_version});
    }
    const bool has_effect = row.is_gone ? drop(row, changed) : put(row, changed);
    if (has_effect) {
      effect.rows.push_back(row);
    }
  }
}

std::optional<uint64_t> RowCache::laterVersionOf(const StoreRow& row) const {
  uint64_t known_version = 0;
  if (const auto known = rows_.find(row.key); known != rows_.end()) {
    known_version = known->second.row.version;
  } else if (const auto deleted = deleted_versions_.find(row.key); deleted != deleted_versions_.end()) {
    known_version = deleted->second;
  }
  return known_version > row.version ? std::optional(known_version) : std::nullopt;
}

// Known rows that are absent from the snapshot and were written before its read began: they were deleted.
// Rows written later may have been inserted into pages that had already been read.
std::vector<StoreRow> RowCache::missingFrom(const TableUpdate& snapshot) const {
  absl::flat_hash_set<std::string> read;
  for (const StoreRow& row : snapshot.rows) {
    read.insert(row.key);
  }
  std::vector<StoreRow> missing;
  for (const auto& [key, cached] : rows_) {
    if (!read.contains(key) && cached.row.version <= snapshot.version) {
      StoreRow gone;
      gone.key = key;
      gone.version = snapshot.version;
      gone.is_gone = true;
      missing.push_back(std::move(gone));
    }
  }
  return missing;
}

bool RowCache::put(const StoreRow& row, uint64_t changed) {
  const auto deleted_version = deleted_versions_.find(row.key);
  if (deleted_version != deleted_versions_.end() && deleted_version->second > row.version) {
    return false;
  }
  const auto [place, is_new] = rows_.try_emplace(row.key, CachedRow{row, changed});
  if (!is_new) {
    StoreRow& known = place->second.row;
    if (row.version < known.version) {
      return false;
    }
    if (is_same_(known, row)) {
      known.version = row.version;
      return false;
    }
    place->second = {row, changed};
  }
  last_change_ = changed;
  return true;
}

// Deletions of unknown rows are recorded, too: a snapshot read in progress may still contain such a row.
bool RowCache::drop(const StoreRow& gone, uint64_t changed) {
  const auto found = rows_.find(gone.key);
  const bool is_known = found != rows_.end();
  if (is_known && found->second.row.version > gone.version) {
    return false;
  }
  uint64_t& deleted_version = deleted_versions_[gone.key];
  deleted_version = std::max(deleted_version, gone.version);
  deleted_rows_.push_back({gone.key, changed, deleted_version});
  if (is_known) {
    rows_.erase(found);
    last_change_ = changed;
  }
  if (deleted_rows_.size() > kMaxDeletedRows) {
    forgetOldestDeletedRow();
  }
  return is_known;
}

void RowCache::forgetOldestDeletedRow() {
  const DeletedRow& first = deleted_rows_.front();
  forgotten_version_ = first.changed;
  const auto deleted_version = deleted_versions_.find(first.key);
  if (deleted_version != deleted_versions_.end() && deleted_version->second == first.deleted_version) {
    deleted_versions_.erase(deleted_version);
  }
  deleted_rows_.pop_front();
}

TableUpdate RowCache::updateSince(uint64_t version) const {
  TableUpdate update;
  update.version = served_version_;
  update.confirmed = confirmed_;
  update.as_of = as_of_;
  update.is_whole = needsSnapshotSince(version);
  for (const auto& [key, cached] : rows_) {
    if (update.is_whole || cached.changed > version) {
      update.rows.push_back(cached.row);
    }
  }
  if (!update.is_whole) {
    for (const DeletedRow& gone : deleted_rows_) {
      if (gone.changed > version && !rows_.contains(gone.key)) {
        StoreRow row;
        row.key = gone.key;
        row.version = gone.deleted_version;
        row.is_gone = true;
        update.rows.push_back(row);
      }
    }
  }
  return update;
}

}  // namespace quincewick::forwarding
