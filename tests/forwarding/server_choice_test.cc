#include "forwarding/server_choice.h"

#include <absl/container/btree_map.h>
#include <absl/random/random.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace quincewick::forwarding {
namespace {

const ServiceName kService("app");
const ZoneName kZone("a");
const absl::Time kNow = absl::FromUnixSeconds(1000);

ServerEntry entry(int number) {
  ServerEntry entry;
  entry.id = absl::StrCat("i-", number);
  entry.service = kService;
  entry.zone = kZone;
  entry.slots = 6;
  return entry;
}

TEST_CASE("requests of many gateways with few requests each spread over all servers of a service") {
  constexpr int servers = 60;
  constexpr int gateways = 200;
  constexpr int requests = 30;  // of a gateway
  std::mt19937 random(1);
  std::vector<int> taken(servers);
  for (int gateway = 0; gateway < gateways; ++gateway) {
    ServerDirectory directory;
    for (int number = 0; number < servers; ++number) {
      directory.upsert(entry(number));
    }
    for (int number = 0; number < requests; ++number) {
      const auto server = chooseServer(directory.ofService(kService), {}, kZone, kNow, random);
      REQUIRE(server != nullptr);
      ++taken[static_cast<size_t>(std::stoi(server->entry.id.substr(2)))];
      const bool is_short = std::uniform_int_distribution<>(0, 4)(random) == 0;
      ServerDirectory::noteSuccess(*server, is_short ? absl::Milliseconds(2) : absl::Milliseconds(62));
    }
  }
  constexpr int mean = gateways * requests / servers;
  CHECK(*std::min_element(taken.begin(), taken.end()) >= mean / 3);
  CHECK(*std::max_element(taken.begin(), taken.end()) <= mean * 3);
}

TEST_CASE("a server that is slow, full or failing gets fewer requests than others") {
  std::mt19937 random(1);
  ServerDirectory directory;
  for (int number = 0; number < 4; ++number) {
    directory.upsert(entry(number));
    ServerDirectory::noteSuccess(*directory.find(absl::StrCat("i-", number)), absl::Milliseconds(60));
  }
  directory.find("i-0")->latency_seconds = 0.3;
  directory.find("i-1")->own.running = 6;
  ServerDirectory::noteFailure(*directory.find("i-2"), 1, kNow);
  for (int number = 0; number < 50; ++number) {
    CHECK(chooseServer(directory.ofService(kService), {}, kZone, kNow, random)->entry.id == "i-3");
  }
}

}  // namespace
}  // namespace quincewick::forwarding
