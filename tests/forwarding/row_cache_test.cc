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

// Rows that differ only behind a slash say the same.
std::string meaning(const std::string& value) {
  return value.substr(0, value.find('/'));
}

RowCache makeCache() {
  return RowCache([](const StoreRow& known, const StoreRow& written) {
    return meaning(known.value) == meaning(written.value);
  });
}

// What one who asks makes of the news.
struct Asker {
  std::map<std::string, std::string> rows;
  uint64_t version = 0;

  void take(const TableUpdate& news) {
    if (news.is_whole) {
      rows.clear();
    }
    for (const StoreRow& changed : news.rows) {
      if (changed.is_gone) {
        rows.erase(changed.key);
      } else {
        rows[changed.key] = meaning(changed.value);
      }
    }
    version = std::max(version, news.version);
  }
};

TEST_CASE("who asks now and then has what the reader has, whatever the feed leaves out") {
  CHECK(rc::check([] {
    std::map<std::string, StoreRow> store;
    uint64_t version = 1;
    RowCache cache = makeCache();
    Asker asker;
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
      const bool is_heard = *rc::gen::inRange(0, 4) > 0;
      if (is_heard) {
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
        asker.take(cache.updateSince(asker.version));
      }
    }
    std::vector<StoreRow> all;
    std::map<std::string, std::string> expected;
    for (const auto& [name, kept] : store) {
      all.push_back(kept);
      expected[name] = meaning(kept.value);
    }
    cache.take({all, true, version, absl::UnixEpoch()});
    asker.take(cache.updateSince(asker.version));
    RC_ASSERT(asker.rows == expected);
  }));
}

// A draining server seemed ready again, and one that had gone came back, for the seconds until the next whole
// reading: its first page was read before the change was told, its last one after it.
TEST_CASE("a reading in pages, between changes, leaves nothing out and brings nothing back") {
  CHECK(rc::check([] {
    std::map<std::string, StoreRow> store;
    std::vector<StoreRow> log;  // the last change of each row, by rising versions
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
    // What the store answered, taken now or later.
    const auto feed = [&] {
      TableUpdate news;
      std::copy_if(log.begin(), log.end(), std::back_inserter(news.rows),
                   [&](const StoreRow& changed) { return changed.version > followed; });
      news.version = version;
      followed = version;
      return news;
    };
    const auto page = [&](const std::string& from, const std::string& to, TableUpdate& whole) {
      for (const auto& [key, kept] : store) {
        if (key >= from && key < to) {
          whole.rows.push_back(kept);
        }
      }
    };
    for (int round = 0; round < 12; ++round) {
      changes();
      TableUpdate whole;
      whole.is_whole = true;
      whole.version = version;
      page("a", "d", whole);
      changes();
      std::vector<TableUpdate> told;
      if (cache.hasSnapshot() && *rc::gen::arbitrary<bool>()) {
        told.push_back(feed());
      }
      changes();
      page("d", "z", whole);
      changes();
      if (cache.hasSnapshot() && *rc::gen::arbitrary<bool>()) {
        told.push_back(feed());
      }
      const bool is_whole_first = *rc::gen::arbitrary<bool>();
      const bool was_filled = cache.hasSnapshot();
      if (is_whole_first) {
        cache.take(whole);
      }
      for (const TableUpdate& news : told) {
        cache.take(news);
      }
      if (!is_whole_first) {
        cache.take(whole);
      }
      if (!was_filled) {
        followed = whole.version;
      }
      cache.take(feed());
      std::map<std::string, std::string> expected;
      for (const auto& [key, kept] : store) {
        expected[key] = kept.value;
      }
      Asker asker;
      asker.take(cache.updateSince(0));
      RC_ASSERT(asker.rows == expected);
    }
  }));
}

// A server had left a moment before a gateway that had just started read the list for its zone: it never knew
// of the server, so it told nobody that it was gone, and a follower of another reader before went on with it.
TEST_CASE("who changes to a new reader learns what went before its first reading") {
  RowCache before = makeCache();
  before.take({{row("stays", "1", 3), row("leaves", "1", 4)}, true, 5, absl::UnixEpoch()});
  Asker asker;
  asker.take(before.updateSince(0));
  REQUIRE(asker.rows.size() == 2);
  RowCache after = makeCache();
  after.take({{row("stays", "1", 3)}, true, 8, absl::UnixEpoch()});
  asker.take(after.updateSince(asker.version));
  CHECK(asker.rows.size() == 1);
}

// A follower that becomes the reader tells the others what changed, not all: it knows what they know.
TEST_CASE("a follower that reads from now on tells changes alone") {
  RowCache reader = makeCache();
  reader.take({{row("stays", "1", 3), row("leaves", "1", 4)}, true, 5, absl::UnixEpoch()});
  RowCache follower = makeCache();
  Asker other;
  follower.take(reader.updateSince(0));
  other.take(reader.updateSince(0));
  follower.take({{row("stays", "1", 3), row("new", "1", 7)}, true, 8, absl::UnixEpoch()});
  const TableUpdate news = follower.updateSince(other.version);
  CHECK_FALSE(news.is_whole);
  CHECK(news.rows.size() == 2);
  other.take(news);
  CHECK(other.rows == std::map<std::string, std::string>{{"stays", "1"}, {"new", "1"}});
}

TEST_CASE("a row that says the same as before is no news") {
  RowCache cache = makeCache();
  cache.take({{row("a", "1/x", 5)}, true, 5, absl::UnixEpoch()});
  const uint64_t last_change = cache.lastChange();
  cache.take({{row("a", "1/y", 6)}, false, 6, absl::InfinitePast()});
  CHECK(cache.lastChange() == last_change);
  CHECK(cache.updateSince(5).rows.empty());
  cache.take({{row("a", "2/y", 7)}, false, 7, absl::InfinitePast()});
  CHECK(cache.updateSince(5).rows.size() == 1);
}

TEST_CASE("only whole readings confirm; every answer is counted and tells as of when the rows are") {
  RowCache cache = makeCache();
  CHECK_FALSE(cache.hasSnapshot());
  const absl::Time began = absl::UnixEpoch() + absl::Seconds(3);
  cache.take({{}, true, 4, began});
  CHECK(cache.readings() == 1);
  const absl::Time asked = began + absl::Seconds(1);
  cache.take({{row("a", "1", 5)}, false, 5, absl::InfinitePast(), asked});
  CHECK(cache.confirmed() == began);
  CHECK(cache.readings() == 2);
  CHECK(cache.updateSince(4).confirmed == began);
  CHECK(cache.updateSince(4).as_of == asked);
  CHECK(cache.asOf() == asked);
}

TEST_CASE("after a long time away all rows are told") {
  RowCache cache = makeCache();
  uint64_t version = 1;
  cache.take({{row("stays", "1", 1)}, true, version, absl::UnixEpoch()});
  for (int gone = 0; gone < 600; ++gone) {
    cache.take({{row("k", "1", ++version)}, false, version, absl::InfinitePast()});
    StoreRow leaves = row("k", "", ++version);
    leaves.is_gone = true;
    cache.take({{leaves}, false, version, absl::InfinitePast()});
  }
  const TableUpdate news = cache.updateSince(2);
  CHECK(news.is_whole);
  CHECK(news.rows.size() == 1);
}

}  // namespace
}  // namespace quincewick::forwarding
