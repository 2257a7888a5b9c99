#include "forwarding/row_cache.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
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
  return RowCache([](const StoreRow& known, const StoreRow& written) {
    return relevantPart(known.value) == relevantPart(written.value);
  });
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
    cache.take({{}, true, version, absl::UnixEpoch()});
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
        cache.take({changed, false, version, absl::InfinitePast()});
      }
      if (*rc::gen::inRange(0, 5) == 0) {
        std::vector<StoreRow> all;
        all.reserve(store.size());
        for (const auto& [name, kept] : store) {
          all.push_back(kept);
        }
        cache.take({all, true, version, absl::UnixEpoch() + absl::Seconds(step)});
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
    cache.take({all, true, version, absl::UnixEpoch()});
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
        cache.take(snapshot);
      }
      for (const TableUpdate& update : deltas) {
        cache.take(update);
      }
      if (!is_snapshot_first) {
        cache.take(snapshot);
      }
      if (!was_filled) {
        followed = snapshot.version;
      }
      cache.take(next_delta());
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
  before.take({{row("stays", "1", 3), row("leaves", "1", 4)}, true, 5, absl::UnixEpoch()});
  Follower peer;
  peer.take(before.updateSince(0));
  REQUIRE(peer.rows.size() == 2);
  RowCache after = makeCache();
  after.take({{row("stays", "1", 3)}, true, 8, absl::UnixEpoch()});
  peer.take(after.updateSince(peer.version));
  CHECK(peer.rows.size() == 1);
}

// A follower that becomes the reader knows the rows of the other followers and need not send them a snapshot.
TEST_CASE("a follower that becomes the reader serves deltas") {
  RowCache reader = makeCache();
  reader.take({{row("stays", "1", 3), row("leaves", "1", 4)}, true, 5, absl::UnixEpoch()});
  RowCache follower = makeCache();
  Follower other;
  follower.take(reader.updateSince(0));
  other.take(reader.updateSince(0));
  follower.take({{row("stays", "1", 3), row("new", "1", 7)}, true, 8, absl::UnixEpoch()});
  const TableUpdate update = follower.updateSince(other.version);
  CHECK_FALSE(update.is_whole);
  CHECK(update.rows.size() == 2);
  other.take(update);
  CHECK(other.rows == std::map<std::string, std::string>{{"stays", "1"}, {"new", "1"}});
}

TEST_CASE("a rewritten row that is equivalent is not part of a delta") {
  RowCache cache = makeCache();
  cache.take({{row("a", "1/x", 5)}, true, 5, absl::UnixEpoch()});
  const uint64_t last_change = cache.lastChange();
  cache.take({{row("a", "1/y", 6)}, false, 6, absl::InfinitePast()});
  CHECK(cache.lastChange() == last_change);
  CHECK(cache.updateSince(5).rows.empty());
  cache.take({{row("a", "2/y", 7)}, false, 7, absl::InfinitePast()});
  CHECK(cache.updateSince(5).rows.size() == 1);
}

TEST_CASE("only snapshots confirm; every response is counted and sets the time as of which the rows are") {
  RowCache cache = makeCache();
  CHECK_FALSE(cache.hasSnapshot());
  const absl::Time began = absl::UnixEpoch() + absl::Seconds(3);
  cache.take({{}, true, 4, began});
  CHECK(cache.updateCount() == 1);
  const absl::Time asked = began + absl::Seconds(1);
  cache.take({{row("a", "1", 5)}, false, 5, absl::InfinitePast(), asked});
  CHECK(cache.confirmed() == began);
  CHECK(cache.updateCount() == 2);
  CHECK(cache.updateSince(4).confirmed == began);
  CHECK(cache.updateSince(4).as_of == asked);
  CHECK(cache.asOf() == asked);
}

TEST_CASE("a peer that missed too many deletions gets a snapshot") {
  RowCache cache = makeCache();
  uint64_t version = 1;
  cache.take({{row("stays", "1", 1)}, true, version, absl::UnixEpoch()});
  for (int gone = 0; gone < 600; ++gone) {
    cache.take({{row("k", "1", ++version)}, false, version, absl::InfinitePast()});
    StoreRow leaves = row("k", "", ++version);
    leaves.is_gone = true;
    cache.take({{leaves}, false, version, absl::InfinitePast()});
  }
  const TableUpdate update = cache.updateSince(2);
  CHECK(update.is_whole);
  CHECK(update.rows.size() == 1);
}

}  // namespace
}  // namespace quincewick::forwarding
