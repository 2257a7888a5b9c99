// Guards against changes that are never in force: the store came back from an older copy and assigned
// versions again, gateways passed over the rows written since, and reads that brought such rows still
// confirmed their copy. Callers got 404 for routes that existed, and requests ran under removed keys.
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kBound = absl::Milliseconds(600);
// Reads of the operator's rows after a change, by which it must be in force at all gateways.
constexpr size_t kReads = 60;
// Writes that the copy lacks: versions don't catch up with them during a test.
constexpr uint64_t kLostWrites = 100'000;

struct Change {
  uint64_t version = 3;
  std::string route = "/safe/";  // path prefix of the route "safe"
  std::string key = "key";       // of the tenant "t"
};

std::string configurationOf(const Change& change) {
  return absl::StrReplaceAll(kConfiguration,
                             {{R"("version":3)", absl::StrCat(R"("version":)", change.version)},
                              {R"("/safe/")", absl::StrCat("\"", change.route, "\"")},
                              {R"(["key"])", absl::StrCat("[\"", change.key, "\"]")}});
}

// A site whose store is restored from a copy without the latest writes.
struct RestoredSite : Fixture {
  std::vector<std::unique_ptr<RunningGateway>> gateways;

  explicit RestoredSite(size_t count = 1, bool sends_era = false) {
    site.sendEra(sends_era);
    site.addServer("i-1", [](const Seen& /*seen*/) { return Script{signedAnswer("served by i-1")}; });
    site.addServer("i-2", [](const Seen& /*seen*/) { return Script{signedAnswer("served by i-2")}; });
    site.saveCopy();
    site.writeElsewhere(kLostWrites);
    for (const char* const server : {"i-1", "i-2"}) {
      site.setRow("servers", server, site.row("servers", server));  // a heartbeat
    }
    configure({4, "/before/", "key"});
    for (size_t index = 0; index < count; ++index) {
      GatewaySettings settings =
          RunningGateway::settings(std::string(1, static_cast<char>('a' + index)), site.storeAddress(), site);
      settings.bounds.configuration_in_force = kBound;
      settings.bounds.key_revocation = kBound;
      gateways.push_back(std::make_unique<RunningGateway>(settings));
    }
    for (const auto& gateway : gateways) {
      await([&] { return has(gateway->ask("/before/a", kKey), "served"); });
    }
  }

  void configure(const Change& change) { site.setRow("op", "config", configurationOf(change)); }

  // Waits until the condition holds, or until the table was read so often that it must.
  template <class Condition>
  bool holdsInTime(const Condition& condition, const std::string& table = "op") const {
    const size_t last_read = site.snapshotReads(table) + kReads;
    while (!condition()) {
      if (site.snapshotReads(table) > last_read) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  // Whether the answer of each gateway contains the text in time.
  bool allComeToAnswer(const std::string& target, const HeaderFields& key, const std::string& text) const {
    return holdsInTime([&] { return allAnswer(target, key, text); });
  }

  void awaitReads(const std::string& table, size_t reads) const {
    const size_t last_read = site.snapshotReads(table) + reads;
    await([&] { return site.snapshotReads(table) >= last_read; });
  }

  // Whether none of 20 requests to each gateway is sent to the server.
  bool isSpared(const std::string& server) const {
    for (int request = 0; request < 20; ++request) {
      for (const auto& gateway : gateways) {
        if (has(gateway->ask("/before/a", kKey), server)) {
          return false;
        }
      }
    }
    return true;
  }

  // Whether the answer of each gateway contains the text.
  bool allAnswer(const std::string& target, const HeaderFields& key, const std::string& text) const {
    return std::all_of(gateways.begin(), gateways.end(),
                       [&](const auto& gateway) { return has(gateway->ask(target, key), text); });
  }
};

TEST_CASE("restored store: a route that is added after the restore is served") {
  const size_t gateways = GENERATE(1, 3);
  const bool sends_era = GENERATE(false, true);
  CAPTURE(gateways, sends_era);
  RestoredSite test(gateways, sends_era);
  test.site.restoreCopy();
  test.configure({5, "/after/", "key"});
  CHECK(test.allComeToAnswer("/after/a", kKey, "served"));
  CHECK(test.allComeToAnswer("/before/a", kKey, "HTTP/1.1 404"));
}

TEST_CASE("restored store: a key that is removed after the restore runs nothing") {
  const size_t gateways = GENERATE(1, 3);
  CAPTURE(gateways);
  RestoredSite test(gateways);
  test.site.restoreCopy();
  test.configure({5, "/before/", "other"});
  CHECK(test.allComeToAnswer("/before/a", kKey, "HTTP/1.1 401"));
  CHECK(test.allComeToAnswer("/before/a", {{"Authorization", "Bearer other"}}, "served"));
}

TEST_CASE("restored store: an older copy neither replaces nor confirms the configuration in force") {
  const size_t gateways = GENERATE(1, 3);
  CAPTURE(gateways);
  RestoredSite test(gateways);
  test.site.restoreCopy();
  CHECK(test.allComeToAnswer("/safe/a", kKey, "HTTP/1.1 503"));
  CHECK(test.allComeToAnswer("/unknown/a", kKey, "HTTP/1.1 503"));
  CHECK(test.allComeToAnswer("/before/a", kKey, "HTTP/1.1 503"));  // the key may have been removed
  CHECK(test.allAnswer("/open/a", {}, "served"));
  test.configure({4, "/before/", "key"});
  CHECK(test.allComeToAnswer("/before/a", kKey, "served"));
  CHECK(test.allComeToAnswer("/safe/a", kKey, "HTTP/1.1 404"));
}

TEST_CASE("restored store: a configuration that is written again with other content is in force") {
  RestoredSite test(3);
  test.site.restoreCopy();
  test.configure({4, "/after/", "key"});
  CHECK(test.allComeToAnswer("/after/a", kKey, "served"));
  CHECK(test.allComeToAnswer("/before/a", kKey, "HTTP/1.1 404"));
}

TEST_CASE("restored store: without any row, what was in force stays until the next change") {
  RestoredSite test(3);
  test.site.removeRow("op", "config");
  CHECK(test.allComeToAnswer("/unknown/a", kKey, "HTTP/1.1 503"));
  CHECK(test.allAnswer("/open/a", {}, "served"));
  test.site.restoreCopy();
  test.configure({5, "/after/", "key"});
  CHECK(test.allComeToAnswer("/after/a", kKey, "served"));
}

TEST_CASE("restored store: changes between and after two restores are in force") {
  RestoredSite test(3);
  test.site.restoreCopy();
  test.configure({5, "/between/", "key"});
  CHECK(test.allComeToAnswer("/between/a", kKey, "served"));
  test.site.writeElsewhere(kLostWrites);
  test.configure({6, "/later/", "key"});
  CHECK(test.allComeToAnswer("/later/a", kKey, "served"));
  test.site.restoreCopy();
  test.site.restoreCopy();
  test.configure({7, "/after/", "key"});
  CHECK(test.allComeToAnswer("/after/a", kKey, "served"));
}

TEST_CASE("restored store: a server that is listed as draining after the restore gets no requests") {
  const size_t gateways = GENERATE(1, 3);
  CAPTURE(gateways);
  RestoredSite test(gateways);
  const std::string entry = test.site.row("servers", "i-1");
  test.site.restoreCopy();
  test.configure({5, "/before/", "key"});
  test.site.setRow("servers", "i-1", absl::StrReplaceAll(entry, {{"ready", "draining"}}));
  CHECK(test.holdsInTime([&] { return test.isSpared("i-1"); }, "servers"));
}

TEST_CASE("restored store: a server whose draining the copy lacks gets no requests") {
  const size_t gateways = GENERATE(1, 3);
  const bool is_removed = GENERATE(false, true);
  CAPTURE(gateways, is_removed);
  RestoredSite test(gateways);
  const std::string entry = test.site.row("servers", "i-1");
  test.site.setRow("servers", "i-1", absl::StrReplaceAll(entry, {{"ready", "draining"}}));
  REQUIRE(test.holdsInTime([&] { return test.isSpared("i-1"); }, "servers"));
  if (is_removed) {
    test.site.removeRow("servers", "i-1");
    test.awaitReads("servers", 4);
  }
  test.site.restoreCopy();
  test.configure({5, "/before/", "key"});
  test.awaitReads("servers", 4);
  CHECK(test.isSpared("i-1"));
}

}  // namespace
}  // namespace quincewick::gateway
