#include "forwarding/row_cache.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace quincewick::forwarding {
namespace {

constexpr size_t kGoneAtMost = 512;

}  // namespace

void RowCache::take(const TableNews& news) {
  const bool is_old = news.version < store_version_;
  if (is_old) {
    return;
  }
  store_version_ = news.version;
  as_of_ = std::max(as_of_, news.as_of);
  ++readings_;
  const uint64_t changed = news.version > told_version_ ? news.version : told_version_ + 1;
  if (news.is_whole) {
    absl::flat_hash_set<std::string> read;
    for (const StoreRow& row : news.rows) {
      read.insert(row.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, kept] : rows_) {
      if (!read.contains(key)) {
        missing.push_back(key);
      }
    }
    for (const std::string& key : missing) {
      drop(key, changed);
    }
    confirmed_ = std::max(confirmed_, news.confirmed);
  }
  for (const StoreRow& row : news.rows) {
    if (row.is_gone) {
      drop(row.key, changed);
    } else {
      put(row, changed);
    }
  }
  told_version_ = std::max({told_version_, store_version_, last_change_});
}

void RowCache::put(const StoreRow& row, uint64_t changed) {
  const auto [place, is_new] = rows_.try_emplace(row.key, Kept{row, changed});
  if (!is_new) {
    if (is_same_(place->second.row, row)) {
      return;
    }
    place->second = {row, changed};
  }
  last_change_ = changed;
}

void RowCache::drop(const std::string& key, uint64_t changed) {
  if (rows_.erase(key) == 0) {
    return;
  }
  gone_.push_back({key, changed});
  last_change_ = changed;
  if (gone_.size() > kGoneAtMost) {
    forgotten_ = gone_.front().changed;
    gone_.pop_front();
  }
}

void RowCache::clear() {
  rows_.clear();
  gone_.clear();
  forgotten_ = 0;
  store_version_ = 0;
  told_version_ = 0;
  last_change_ = 0;
  as_of_ = absl::InfinitePast();
}

TableNews RowCache::newsAfter(uint64_t version) const {
  TableNews news;
  news.version = told_version_;
  news.confirmed = confirmed_;
  news.as_of = as_of_;
  news.is_whole = version == 0 || version < forgotten_;
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
        row.version = gone.changed;
        row.is_gone = true;
        news.rows.push_back(row);
      }
    }
  }
  return news;
}

}  // namespace quincewick::forwarding
