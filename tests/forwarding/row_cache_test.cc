#include "forwarding/row_cache.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace quincewick::forwarding {
namespace {

StoreRow row(const std::string& key, const std::string& value, uint64_t version) {
  StoreRow result;
  result.key = key;
  result.value = value;
  result.version = version;
  return result;
}

// Rows that differ only after a slash are equivalent.
std::string relevantPart(const std::string& value) {
  return value.substr(0, value.find('/'));
}

RowCache makeCache() {
  RowCacheRules rules;
  rules.content = [](const StoreRow& row) {
    return std::hash<std::string>()(row.key + "=" + relevantPart(row.value));
  };
  rules.rank = [](const StoreRow& /*row*/) { return std::nullopt; };
  return RowCache(std::move(rules));
}

// The responses of these cases tell no time of reading: only versions order them.
void take(RowCache& cache, const TableUpdate& update) {
  cache.take(update, absl::UnixEpoch());
}

// A peer that applies the updates it receives.
struct Follower {
  std::map<std::string, std::string> rows;
  uint64_t version = 0;

  void take(const TableUpdate& update) {
    if (update.is_whole) {
      rows.clear();
    }
    for (const StoreRow& changed : update.rows) {
      if (changed.is_gone) {
        rows.erase(changed.key);
      } else {
        rows[changed.key] = relevantPart(changed.value);
      }
    }
    version = std::max(version, update.version);
  }
};

TEST_CASE("a peer that polls now and then has the rows of the reader, whatever the deltas leave out") {
  CHECK(rc::check([] {
    std::map<std::string, StoreRow> store;
    uint64_t version = 1;
    RowCache cache = makeCache();
    Follower peer;
    take(cache, {{}, true, version, absl::UnixEpoch()});
    for (int step = 0; step < 120; ++step) {
      const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
      std::vector<StoreRow> changed;
      ++version;
      if (*rc::gen::inRange(0, 4) == 0) {
        StoreRow gone = row(key, "", version);
        gone.is_gone = true;
        if (store.erase(key) > 0) {
          changed.push_back(gone);
        }
      } else {
        store[key] =
            row(key, std::to_string(*rc::gen::inRange(0, 3)) + "/" + std::to_string(version), version);
        changed.push_back(store[key]);
      }
      const bool is_received = *rc::gen::inRange(0, 4) > 0;
      if (is_received) {
        take(cache, {changed, false, version, absl::InfinitePast()});
      }
      if (*rc::gen::inRange(0, 5) == 0) {
        std::vector<StoreRow> all;
        all.reserve(store.size());
        for (const auto& [name, kept] : store) {
          all.push_back(kept);
        }
        take(cache, {all, true, version, absl::UnixEpoch() + absl::Seconds(step)});
      }
      if (*rc::gen::inRange(0, 3) == 0) {
        peer.take(cache.updateSince(peer.version));
      }
    }
    std::vector<StoreRow> all;
    std::map<std::string, std::string> expected;
    for (const auto& [name, kept] : store) {
      all.push_back(kept);
      expected[name] = relevantPart(kept.value);
    }
    take(cache, {all, true, version, absl::UnixEpoch()});
    peer.take(cache.updateSince(peer.version));
    RC_ASSERT(peer.rows == expected);
  }));
}

// Guards against a draining server that seems ready again, or a deleted one that reappears, until the next
// snapshot: the first page of a snapshot was read before a delta reported the change, the last page after it.
TEST_CASE("a paged snapshot with concurrent deltas loses no row and restores no deleted row") {
  CHECK(rc::check([] {
    std::map<std::string, StoreRow> store;
    std::vector<StoreRow> log;  // the last change of each row, in ascending order of versions
    uint64_t version = 1;
    uint64_t followed = 0;
    RowCache cache = makeCache();
    const auto change = [&] {
      const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 8)));
      StoreRow changed = row(key, std::to_string(*rc::gen::inRange(0, 3)), ++version);
      if (*rc::gen::inRange(0, 3) == 0) {
        changed.is_gone = true;
        store.erase(key);
      } else {
        store[key] = changed;
      }
      std::erase_if(log, [&key](const StoreRow& old) { return old.key == key; });
      log.push_back(changed);
    };
    const auto changes = [&] {
      for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        change();
      }
    };
    // The next delta of the store, which may be applied later.
    const auto next_delta = [&] {
      TableUpdate update;
      std::copy_if(log.begin(), log.end(), std::back_inserter(update.rows),
                   [&](const StoreRow& changed) { return changed.version > followed; });
      update.version = version;
      followed = version;
      return update;
    };
    const auto page = [&](const std::string& from, const std::string& to, TableUpdate& snapshot) {
      for (const auto& [key, kept] : store) {
        if (key >= from && key < to) {
          snapshot.rows.push_back(kept);
        }
      }
    };
    for (int round = 0; round < 12; ++round) {
      changes();
      TableUpdate snapshot;
      snapshot.is_whole = true;
      snapshot.version = version;
      page("a", "d", snapshot);
      changes();
      std::vector<TableUpdate> deltas;
      if (cache.hasSnapshot() && *rc::gen::arbitrary<bool>()) {
        deltas.push_back(next_delta());
      }
      changes();
      page("d", "z", snapshot);
      changes();
      if (cache.hasSnapshot() && *rc::gen::arbitrary<bool>()) {
        deltas.push_back(next_delta());
      }
      const bool is_snapshot_first = *rc::gen::arbitrary<bool>();
      const bool was_filled = cache.hasSnapshot();
      if (is_snapshot_first) {
        take(cache, snapshot);
      }
      for (const TableUpdate& update : deltas) {
        take(cache, update);
      }
      if (!is_snapshot_first) {
        take(cache, snapshot);
      }
      if (!was_filled) {
        followed = snapshot.version;
      }
      take(cache, next_delta());
      std::map<std::string, std::string> expected;
      for (const auto& [key, kept] : store) {
        expected[key] = kept.value;
      }
      Follower peer;
      peer.take(cache.updateSince(0));
      RC_ASSERT(peer.rows == expected);
    }
  }));
}

// Guards against a follower that keeps a deleted server after a change of reader: the new reader started
// after the server had left, never knew of it and so reports no deletion.
TEST_CASE("a follower of a new reader learns of rows deleted before the reader's first snapshot") {
  RowCache before = makeCache();
  take(before, {{row("stays", "1", 3), row("leaves", "1", 4)}, true, 5, absl::UnixEpoch()});
  Follower peer;
  peer.take(before.updateSince(0));
  REQUIRE(peer.rows.size() == 2);
  RowCache after = makeCache();
  take(after, {{row("stays", "1", 3)}, true, 8, absl::UnixEpoch()});
  peer.take(after.updateSince(peer.version));
  CHECK(peer.rows.size() == 1);
}

// A follower that becomes the reader knows the rows of the other followers and need not send them a snapshot.
TEST_CASE("a follower that becomes the reader serves deltas") {
  RowCache reader = makeCache();
  take(reader, {{row("stays", "1", 3), row("leaves", "1", 4)}, true, 5, absl::UnixEpoch()});
  RowCache follower = makeCache();
  Follower other;
  take(follower, reader.updateSince(0));
  other.take(reader.updateSince(0));
  take(follower, {{row("stays", "1", 3), row("new", "1", 7)}, true, 8, absl::UnixEpoch()});
  const TableUpdate update = follower.updateSince(other.version);
  CHECK_FALSE(update.is_whole);
  CHECK(update.rows.size() == 2);
  other.take(update);
  CHECK(other.rows == std::map<std::string, std::string>{{"stays", "1"}, {"new", "1"}});
}

TEST_CASE("a rewritten row that is equivalent is not part of a delta") {
  RowCache cache = makeCache();
  take(cache, {{row("a", "1/x", 5)}, true, 5, absl::UnixEpoch()});
  const uint64_t last_change = cache.lastChange();
  take(cache, {{row("a", "1/y", 6)}, false, 6, absl::InfinitePast()});
  CHECK(cache.lastChange() == last_change);
  CHECK(cache.updateSince(5).rows.empty());
  take(cache, {{row("a", "2/y", 7)}, false, 7, absl::InfinitePast()});
  CHECK(cache.updateSince(5).rows.size() == 1);
}

TEST_CASE("only snapshots confirm; every response is counted and sets the time as of which the rows are") {
  RowCache cache = makeCache();
  CHECK_FALSE(cache.hasSnapshot());
  const absl::Time began = absl::UnixEpoch() + absl::Seconds(3);
  take(cache, {{}, true, 4, began});
  CHECK(cache.updateCount() == 1);
  const absl::Time asked = began + absl::Seconds(1);
  take(cache, {{row("a", "1", 5)}, false, 5, absl::InfinitePast(), asked});
  CHECK(cache.confirmed() == began);
  CHECK(cache.updateCount() == 2);
  CHECK(cache.updateSince(4).confirmed == began);
  CHECK(cache.updateSince(4).as_of == asked);
  CHECK(cache.asOf() == asked);
}

TEST_CASE("a peer that missed too many deletions gets a snapshot") {
  RowCache cache = makeCache();
  uint64_t version = 1;
  take(cache, {{row("stays", "1", 1)}, true, version, absl::UnixEpoch()});
  for (int gone = 0; gone < 600; ++gone) {
    take(cache, {{row("k", "1", ++version)}, false, version, absl::InfinitePast()});
    StoreRow leaves = row("k", "", ++version);
    leaves.is_gone = true;
    take(cache, {{leaves}, false, version, absl::InfinitePast()});
  }
  const TableUpdate update = cache.updateSince(2);
  CHECK(update.is_whole);
  CHECK(update.rows.size() == 1);
}

// The cases below guard against changes that are passed over after a restore of the store: versions were
// assigned again, and a read whose rows were not applied renewed the age of the copy.
constexpr absl::Time kStart = absl::UnixEpoch();

TableUpdate snapshot(std::vector<StoreRow> rows, uint64_t version, absl::Time began) {
  TableUpdate update;
  update.rows = std::move(rows);
  update.is_whole = true;
  update.version = version;
  update.confirmed = began;
  update.as_of = began;
  return update;
}

RowCache makeRankedCache() {
  RowCacheRules rules;
  rules.content = [](const StoreRow& row) {
    return std::hash<std::string>()(row.key + "=" + row.value + std::to_string(row.version));
  };
  rules.rank = [](const StoreRow& row) { return std::optional<uint64_t>(std::stoull(row.value)); };
  return RowCache(std::move(rules));
}

TEST_CASE("a snapshot whose read began later replaces rows of later versions, and deletes those it lacks") {
  RowCache cache = makeCache();
  cache.take(snapshot({row("a", "1", 90), row("b", "1", 95)}, 100, kStart), kStart + absl::Seconds(1));
  const AppliedUpdate effect =
      cache.take(snapshot({row("a", "2", 11)}, 12, kStart + absl::Seconds(2)), kStart + absl::Seconds(3));
  CHECK(effect.changes.rows.size() == 2);
  CHECK(effect.superseded == 2);
  CHECK(effect.last_superseded == kStart + absl::Seconds(1));
  CHECK(effect.passed_over.empty());
  CHECK(cache.confirmed() == kStart + absl::Seconds(2));
  CHECK(cache.updateSince(100).rows.size() == 2);
}

TEST_CASE("a late snapshot, and a delta, pass over rows of earlier versions") {
  RowCache cache = makeCache();
  cache.take(snapshot({row("a", "1", 90)}, 100, kStart + absl::Seconds(2)), kStart + absl::Seconds(3));
  const AppliedUpdate late =
      cache.take(snapshot({row("a", "0", 80)}, 99, kStart + absl::Seconds(1)), kStart + absl::Seconds(4));
  CHECK(late.passed_over.size() == 1);
  CHECK(cache.confirmed() == kStart + absl::Seconds(2));
  TableUpdate delta;
  delta.rows = {row("a", "0", 80)};
  delta.version = 101;
  delta.as_of = kStart + absl::Seconds(5);
  CHECK(cache.take(delta, kStart + absl::Seconds(6)).passed_over.size() == 1);
  CHECK(cache.asOf() == kStart + absl::Seconds(2));
}

TEST_CASE(
    "a row that the operator numbered lower, or that is missing, neither replaces a known one nor confirms") {
  RowCache cache = makeRankedCache();
  cache.take(snapshot({row("a", "5", 90)}, 100, kStart), kStart);
  const std::vector<StoreRow> lower =
      GENERATE(std::vector<StoreRow>{row("a", "4", 11)}, std::vector<StoreRow>{},
               std::vector<StoreRow>{row("a", "4", 200)});
  const AppliedUpdate effect =
      cache.take(snapshot(lower, 12, kStart + absl::Seconds(1)), kStart + absl::Seconds(2));
  CHECK(effect.changes.rows.empty());
  CHECK(effect.passed_over.size() == 1);
  CHECK(cache.confirmed() == kStart);
  cache.take(snapshot({row("a", "6", 13)}, 14, kStart + absl::Seconds(3)), kStart + absl::Seconds(4));
  CHECK(cache.confirmed() == kStart + absl::Seconds(3));
}

TEST_CASE("after a noticed restore, a delta replaces what was known before it, and orders what came since") {
  RowCache cache = makeRankedCache();
  cache.take(snapshot({row("a", "5", 90)}, 100, kStart), kStart);
  cache.noteRestore(kStart + absl::Seconds(1));
  TableUpdate delta;
  delta.rows = {row("a", "6", 11), row("a", "7", 12)};
  delta.version = 12;
  CHECK(cache.take(delta, kStart + absl::Seconds(2)).changes.rows.size() == 2);
  delta.rows = {row("a", "6", 11)};
  CHECK(cache.take(delta, kStart + absl::Seconds(3)).passed_over.size() == 1);
}

TEST_CASE("a follower takes its reader's ages only while both have the same rows") {
  RowCache reader = makeCache();
  reader.take(snapshot({row("a", "1", 90)}, 100, kStart), kStart + absl::Seconds(1));
  RowCache follower = makeCache();
  follower.take(reader.updateSince(0), kStart + absl::Seconds(2));
  CHECK(follower.confirmed() == kStart);
  reader.take(snapshot({row("a", "2", 11)}, 12, kStart + absl::Seconds(3)), kStart + absl::Seconds(4));
  // A delta after a version that another reader gave the follower: it lacks the change.
  const AppliedUpdate effect = follower.take(reader.updateSince(500), kStart + absl::Seconds(5));
  CHECK(effect.needs_snapshot);
  CHECK(follower.confirmed() == kStart);
  CHECK(follower.asOf() == kStart);
  CHECK_FALSE(follower.take(reader.updateSince(0), kStart + absl::Seconds(6)).needs_snapshot);
  CHECK(follower.confirmed() == kStart + absl::Seconds(3));
  CHECK(follower.digest() == reader.digest());
}

TEST_CASE("a removed row that reappears with an earlier version counts once it was written again") {
  RowCacheRules rules;
  rules.content = [](const StoreRow& row) { return std::hash<std::string>()(row.key + "=" + row.value); };
  rules.rank = [](const StoreRow& /*row*/) { return std::nullopt; };
  rules.is_renewed = true;
  RowCache cache(std::move(rules));
  cache.take(snapshot({row("a", "1", 90)}, 100, kStart), kStart);
  cache.take(snapshot({}, 101, kStart + absl::Seconds(1)), kStart + absl::Seconds(1));
  for (int second = 2; second < 5; ++second) {
    const absl::Time now = kStart + absl::Seconds(second);
    CHECK(cache.take(snapshot({row("a", "1", 50)}, 60, now), now).changes.rows.empty());
  }
  const absl::Time now = kStart + absl::Seconds(5);
  const bool is_delta = GENERATE(false, true);
  TableUpdate written = snapshot({row("a", "1", 61)}, 61, now);
  if (is_delta) {
    written.is_whole = false;
    CHECK(cache.take(written, now).changes.rows.empty());  // not known to be of after the restore
    cache.noteRestore(now);
  }
  CHECK(cache.take(written, now).changes.rows.size() == 1);
}

}  // namespace
}  // namespace quincewick::forwarding
