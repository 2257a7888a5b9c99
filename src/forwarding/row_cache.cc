#include "forwarding/row_cache.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace quincewick::forwarding {
namespace {

constexpr size_t kMaxDeletedRows = 512;
// A copy that differs from its sender's for so long needs a snapshot, also if neither is provably later.
constexpr absl::Duration kMaxDifference = absl::Seconds(1);

}  // namespace

AppliedUpdate RowCache::take(const TableUpdate& update, absl::Time now) {
  AppliedUpdate effect;
  effect.changes.is_whole = update.is_whole && !hasSnapshot();
  const uint64_t changed = update.version > served_version_ ? update.version : served_version_ + 1;
  applyRows({update, now, changed, effect});
  served_version_ = std::max({served_version_, update.version, last_change_});
  if (effect.changes.is_whole) {
    forgotten_version_ = served_version_;  // earlier deletions are unknown
  }
  if (last_change_ == changed) {
    last_changed_at_ = now;
  }
  noteFreshness(update, effect, now);
  ++update_count_;
  effect.changes.version = served_version_;
  effect.changes.as_of = as_of_;
  return effect;
}

// A peer may not have noticed the restore. The time of a delta of the store doesn't tell, as it may list
// several changes of one row.
bool RowCache::isLater(const TableUpdate& update, absl::Time received) const {
  if (update.digest) {
    return update.as_of >= received;
  }
  return received <= restore_noticed_ || (update.is_whole && update.as_of >= received);
}

void RowCache::applyRows(const Step& step) {
  if (step.update.is_whole && !step.update.keeps_missing) {
    for (StoreRow& missing : missingFrom(step.update)) {
      if (drop(missing, step)) {
        step.effect.changes.rows.push_back(std::move(missing));
      }
    }
  }
  for (const StoreRow& row : step.update.rows) {
    const bool has_effect = row.is_gone ? drop(row, step) : put(row, step);
    if (has_effect) {
      step.effect.changes.rows.push_back(row);
    }
  }
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
    // A peer numbers its responses itself, so only the time of reading orders them.
    const bool was_written_before =
        isLater(snapshot, cached.received) || (!snapshot.digest && cached.row.version <= snapshot.version);
    if (!read.contains(key) && was_written_before) {
      StoreRow gone;
      gone.key = key;
      gone.version = snapshot.digest ? cached.row.version + 1 : snapshot.version;
      gone.is_gone = true;
      missing.push_back(std::move(gone));
    }
  }
  return missing;
}

bool RowCache::put(const StoreRow& row, const Step& step) {
  if (isHidden(row, step)) {
    return false;
  }
  const auto known = rows_.find(row.key);
  if (known != rows_.end()) {
    return replace(known->second, row, step);
  }
  CachedRow cached{row, step.changed, step.now, rules_.content(row), rules_.rank(row)};
  digest_ += cached.content;
  rows_.emplace(row.key, std::move(cached));
  deletions_.erase(row.key);
  last_change_ = step.changed;
  return true;
}

bool RowCache::isHidden(const StoreRow& row, const Step& step) {
  const auto found = deletions_.find(row.key);
  if (found == deletions_.end() || found->second.version <= row.version) {
    return false;
  }
  Deletion& deletion = found->second;
  const auto pass_over = [&](PassOverReason reason) {
    step.effect.passed_over.push_back({row.key, row.version, deletion.version, reason});
    return true;
  };
  if (!isLater(step.update, deletion.received)) {
    return pass_over(PassOverReason::kEarlierVersion);
  }
  // A peer's copy has only rows that were renewed, and a delta only those that were written.
  const bool may_be_old = step.update.is_whole && !step.update.digest;
  const bool is_renewed = deletion.reappeared_version != 0 && deletion.reappeared_version != row.version;
  if (rules_.is_renewed && may_be_old && !is_renewed) {
    deletion.reappeared_version = row.version;
    return pass_over(PassOverReason::kNotRenewed);
  }
  // A renewed row shows no restore: a peer's copy may lack it only because it wasn't renewed yet.
  if (!rules_.is_renewed) {
    noteSuperseded(deletion.received, step);
  }
  return false;
}

void RowCache::noteSuperseded(absl::Time received, const Step& step) {
  ++step.effect.superseded;
  step.effect.last_superseded = std::max(step.effect.last_superseded, received);
}

bool RowCache::replace(CachedRow& known, const StoreRow& row, const Step& step) {
  const uint64_t content = rules_.content(row);
  const bool is_later = isLater(step.update, known.received);
  const auto pass_over = [&](PassOverReason reason) {
    step.effect.passed_over.push_back({row.key, row.version, known.row.version, reason});
    return false;
  };
  if (!is_later && row.version < known.row.version) {
    return pass_over(PassOverReason::kEarlierVersion);
  }
  const bool is_same = content == known.content;
  if (!is_later && row.version == known.row.version && !is_same) {
    return pass_over(PassOverReason::kEarlierVersion);
  }
  const std::optional<uint64_t> rank = is_same ? known.rank : rules_.rank(row);
  if (rank && known.rank && *rank < *known.rank) {
    return pass_over(PassOverReason::kLowerRank);
  }
  if (row.version < known.row.version || (row.version == known.row.version && !is_same)) {
    noteSuperseded(known.received, step);
  }
  known.received = step.now;
  if (is_same) {
    known.row.version = row.version;
    return false;
  }
  digest_ += content - known.content;
  known = {row, step.changed, step.now, content, std::max(known.rank, rank)};
  last_change_ = step.changed;
  return true;
}

// Deletions of unknown rows are recorded, too: a snapshot read in progress may still contain such a row.
bool RowCache::drop(const StoreRow& gone, const Step& step) {
  const auto found = rows_.find(gone.key);
  const bool is_known = found != rows_.end();
  bool is_later = true;
  if (is_known) {
    const CachedRow& known = found->second;
    is_later = isLater(step.update, known.received);
    const bool is_earlier_version = known.row.version > gone.version;
    if (known.rank || (is_earlier_version && !is_later)) {
      const uint64_t version = step.update.is_whole ? 0 : gone.version;
      step.effect.passed_over.push_back(
          {gone.key, version, known.row.version,
           known.rank ? PassOverReason::kLowerRank : PassOverReason::kEarlierVersion});
      return false;
    }
    if (is_earlier_version) {
      noteSuperseded(known.received, step);
    }
  }
  rememberDeletion(gone, is_later, step);
  if (is_known) {
    digest_ -= found->second.content;
    rows_.erase(found);
    last_change_ = step.changed;
  }
  return is_known;
}

void RowCache::rememberDeletion(const StoreRow& gone, bool is_later, const Step& step) {
  Deletion& deletion = deletions_[gone.key];
  const uint64_t version = is_later ? gone.version : std::max(deletion.version, gone.version);
  deletion = {version, step.now, 0};
  deleted_rows_.push_back({gone.key, step.changed, version});
  if (deleted_rows_.size() > kMaxDeletedRows) {
    forgetOldestDeletedRow();
  }
}

void RowCache::forgetOldestDeletedRow() {
  const DeletedRow& first = deleted_rows_.front();
  forgotten_version_ = first.changed;
  const auto deletion = deletions_.find(first.key);
  if (deletion != deletions_.end() && deletion->second.version == first.deleted_version) {
    deletions_.erase(deletion);
  }
  deleted_rows_.pop_front();
}

// Whether the copy is now at least as recent as the response says. A row that a snapshot overlaps was
// received after its request was sent, so it is at least as recent.
bool RowCache::isProven(const TableUpdate& update, const AppliedUpdate& effect) const {
  if (update.digest) {
    return *update.digest == digest_;
  }
  if (!update.is_whole) {
    return effect.passed_over.empty();
  }
  return std::none_of(effect.passed_over.begin(), effect.passed_over.end(),
                      [](const PassedOverRow& row) { return row.reason == PassOverReason::kLowerRank; });
}

void RowCache::noteFreshness(const TableUpdate& update, AppliedUpdate& effect, absl::Time now) {
  const bool has_changes = !effect.changes.rows.empty();
  if (has_changes && (update.is_whole || update.digest)) {
    // Some of the rows may be as old as the response.
    confirmed_ = std::min(confirmed_, update.confirmed);
    as_of_ = std::min(as_of_, update.as_of);
  }
  if (isProven(update, effect)) {
    differs_since_ = absl::InfiniteFuture();
    as_of_ = std::max(as_of_, update.as_of);
    confirmed_ = std::max(confirmed_, update.confirmed);
    effect.changes.confirmed = update.confirmed;
    return;
  }
  if (update.digest) {
    differs_since_ = std::min(differs_since_, now);
    effect.needs_snapshot = isLater(update, last_changed_at_) || now - differs_since_ >= kMaxDifference;
  }
}

TableUpdate RowCache::updateSince(uint64_t version) const {
  TableUpdate update;
  update.version = served_version_;
  update.confirmed = confirmed_;
  update.as_of = as_of_;
  update.digest = digest_;
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
