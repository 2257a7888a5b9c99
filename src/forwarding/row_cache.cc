#include "forwarding/row_cache.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace quincewick::forwarding {
namespace {

constexpr size_t kGoneAtMost = 512;

}  // namespace

TableNews RowCache::take(const TableNews& news) {
  TableNews effect;
  effect.is_whole = news.is_whole && !isFilled();
  const uint64_t changed = news.version > told_version_ ? news.version : told_version_ + 1;
  takeRows(news, changed, effect.rows);
  told_version_ = std::max({told_version_, news.version, last_change_});
  if (effect.is_whole) {
    forgotten_ = told_version_;  // what went before is not known
  }
  as_of_ = std::max(as_of_, news.as_of);
  confirmed_ = std::max(confirmed_, news.confirmed);
  ++readings_;
  effect.version = told_version_;
  effect.confirmed = news.confirmed;
  effect.as_of = as_of_;
  return effect;
}

void RowCache::takeRows(const TableNews& news, uint64_t changed, std::vector<StoreRow>& effect) {
  if (news.is_whole) {
    for (StoreRow& missing : missingFrom(news)) {
      if (drop(missing, changed)) {
        effect.push_back(std::move(missing));
      }
    }
  }
  for (const StoreRow& row : news.rows) {
    const bool has_effect = row.is_gone ? drop(row, changed) : put(row, changed);
    if (has_effect) {
      effect.push_back(row);
    }
  }
}

// Rows that were there when the reading began and that it has not: they went. Those written since may have
// come behind the reading's place.
std::vector<StoreRow> RowCache::missingFrom(const TableNews& whole) const {
  absl::flat_hash_set<std::string> read;
  for (const StoreRow& row : whole.rows) {
    read.insert(row.key);
  }
  std::vector<StoreRow> missing;
  for (const auto& [key, kept] : rows_) {
    if (!read.contains(key) && kept.row.version <= whole.version) {
      StoreRow gone;
      gone.key = key;
      gone.version = whole.version;
      gone.is_gone = true;
      missing.push_back(std::move(gone));
    }
  }
  return missing;
}

bool RowCache::put(const StoreRow& row, uint64_t changed) {
  const auto went = went_.find(row.key);
  if (went != went_.end() && went->second > row.version) {
    return false;
  }
  const auto [place, is_new] = rows_.try_emplace(row.key, Kept{row, changed});
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

// A row that is not known may still stand in a reading that is under way.
bool RowCache::drop(const StoreRow& gone, uint64_t changed) {
  const auto found = rows_.find(gone.key);
  const bool is_known = found != rows_.end();
  if (is_known && found->second.row.version > gone.version) {
    return false;
  }
  uint64_t& went = went_[gone.key];
  went = std::max(went, gone.version);
  gone_.push_back({gone.key, changed, went});
  if (is_known) {
    rows_.erase(found);
    last_change_ = changed;
  }
  if (gone_.size() > kGoneAtMost) {
    forgetFirstGone();
  }
  return is_known;
}

void RowCache::forgetFirstGone() {
  const Gone& first = gone_.front();
  forgotten_ = first.changed;
  const auto went = went_.find(first.key);
  if (went != went_.end() && went->second == first.went) {
    went_.erase(went);
  }
  gone_.pop_front();
}

TableNews RowCache::newsAfter(uint64_t version) const {
  TableNews news;
  news.version = told_version_;
  news.confirmed = confirmed_;
  news.as_of = as_of_;
  news.is_whole = tellsAllAfter(version);
  for (const auto& [key, kept] : rows_) {
    if (news.is_whole || kept.changed > version) {
      news.rows.push_back(kept.row);
    }
  }
  if (!news.is_whole) {
    for (const Gone& gone : gone_) {
      if (gone.changed > version && !rows_.contains(gone.key)) {
        StoreRow row;
        row.key = gone.key;
        row.version = gone.went;
        row.is_gone = true;
        news.rows.push_back(row);
      }
    }
  }
  return news;
}

}  // namespace quincewick::forwarding
