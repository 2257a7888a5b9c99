// Guards against a site in two parts that never hear each other: the store lost the key of the messages
// between gateways, one that had just started created another, and those that ran kept theirs. Each part
// divided limits and permits among its own gateways, so that servers got more than they stand.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

constexpr const char* kTable = "gateway-peers";
constexpr const char* kKeyRow = "!key";
// Reads of the operator's rows within which all gateways hear each other.
constexpr size_t kReads = 400;
// Complete reads of a gateway that finds no key: 4 s at intervals of 0.28 s or more, then one after each of
// its writes, of the key and of its own row, and one after a conflict for each.
constexpr size_t kReadsWithoutKey = 15 + 4;

// Two gateways that hear each other, and others that start later.
struct SiteWithKey : Fixture {
  std::vector<std::unique_ptr<RunningGateway>> gateways;

  SiteWithKey() {
    site.sendEra(true);
    site.addServer("i-1", [](const Seen& /*seen*/) { return Script{signedAnswer("served")}; });
    site.saveCopy();  // without the key
    start("a", true);
    start("b", true);
    await([&] { return allHear(1); });
  }

  void start(const std::string& id, bool site_is_new) {
    GatewaySettings settings = RunningGateway::settings(id, site.storeAddress(), site);
    settings.site_is_new = site_is_new;
    gateways.push_back(std::make_unique<RunningGateway>(settings));
  }

  bool allHear(size_t peers) const {
    const std::string line = absl::StrCat("quincewick_peers ", peers, "\n");
    return std::all_of(gateways.begin(), gateways.end(),
                       [&line](const auto& gateway) { return has(gateway->metrics(), line); });
  }

  bool allHearInTime(size_t peers) const {
    const size_t last_read = site.snapshotReads("op") + kReads;
    while (!allHear(peers)) {
      if (site.snapshotReads("op") > last_read) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }
};

TEST_CASE("lost key: a gateway that starts while the store lacks the key is heard by all others") {
  SiteWithKey test;
  const std::string key = test.site.row(kTable, kKeyRow);
  test.site.restoreCopy();
  test.start("c", false);
  CHECK(test.allHearInTime(2));
  const bool is_same_key = test.site.row(kTable, kKeyRow) == key;
  CHECK(is_same_key);
}

TEST_CASE("lost key: gateways that run accept another key that the store has after a restore") {
  SiteWithKey test;
  test.site.setRow(kTable, kKeyRow, std::string(32, 'x'));
  test.site.saveCopy();
  test.site.restoreCopy();
  test.start("c", false);
  CHECK(test.allHearInTime(2));
}

TEST_CASE("lost key: gateways that all start while the store lacks the key hear each other") {
  SiteWithKey test;
  test.gateways.clear();
  test.site.restoreCopy();
  const size_t reads_before = test.site.snapshotReads(kTable);
  test.start("c", false);
  test.start("d", false);
  CHECK(test.allHearInTime(1));
  CHECK(test.site.snapshotReads(kTable) - reads_before <= 2 * kReadsWithoutKey);
}

}  // namespace
}  // namespace quincewick::gateway
