#include "routing/keeper_ranks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace quincewick::routing {
namespace {

std::vector<KeeperMember> members(int count, double capacity) {
  std::vector<KeeperMember> result;
  for (int index = 0; index < count; ++index) {
    result.push_back({NodeId(absl::StrCat("g", index)), capacity});
  }
  return result;
}

TEST_CASE("larger machines keep more tenants' books, in the measure of their capacity") {
  std::vector<KeeperMember> all = members(20, 10);
  all.push_back({NodeId("large"), 200});
  KeeperRanks ranks;
  ranks.setMembers(all);
  int of_large = 0;
  for (int tenant = 0; tenant < 1000; ++tenant) {
    of_large += ranks.candidates(absl::StrCat(tenant)).front() == NodeId("large");
  }
  CHECK(of_large > 420);
  CHECK(of_large < 580);
}

TEST_CASE("the loss of one gateway moves only the tenants that it kept") {
  KeeperRanks before;
  before.setMembers(members(10, 1));
  std::vector<KeeperMember> fewer = members(10, 1);
  fewer.pop_back();
  KeeperRanks after;
  after.setMembers(fewer);
  for (int tenant = 0; tenant < 300; ++tenant) {
    const std::string id = absl::StrCat(tenant);
    const NodeId was = before.candidates(id).front();
    if (was != NodeId("g9")) {
      CHECK(after.candidates(id).front() == was);
    }
  }
}

TEST_CASE("two questions without an answer make a gateway suspected until it is heard") {
  KeeperRanks ranks;
  ranks.setMembers(members(3, 1));
  const std::string tenant = "t";
  const NodeId first = ranks.candidates(tenant)[0];
  const NodeId second = ranks.candidates(tenant)[1];
  ranks.noteSilence(first);
  CHECK(ranks.candidates(tenant).front() == first);
  ranks.noteSilence(first);
  CHECK(ranks.candidates(tenant).front() == second);
  CHECK(ranks.before(tenant, second) == std::vector<NodeId>{first});
  CHECK(ranks.before(tenant, first).empty());
  ranks.noteHeard(first);
  CHECK(ranks.candidates(tenant).front() == first);
  ranks.noteSilence(first);
  CHECK_FALSE(ranks.isSuspected(first));
}

TEST_CASE("a subject is divided among gateways of different zones, suspected ones too") {
  std::vector<KeeperMember> all = members(30, 1);
  for (size_t index = 0; index < all.size(); ++index) {
    all[index].zone = ZoneName(absl::StrCat("zone-", index % 3));
  }
  KeeperRanks ranks;
  ranks.setMembers(all);
  for (int tenant = 0; tenant < 100; ++tenant) {
    const std::vector<NodeId> spread = ranks.spreadOverZones(absl::StrCat(tenant), 5);
    REQUIRE(spread.size() == 5);
    std::map<std::string, int> of_zone;
    for (const NodeId& id : spread) {
      ranks.noteSilence(id);
      ranks.noteSilence(id);
      ++of_zone[absl::StrCat(std::stoi(id.value().substr(1)) % 3)];
    }
    CHECK(of_zone.size() == 3);
    CHECK(std::all_of(of_zone.begin(), of_zone.end(), [](const auto& zone) { return zone.second <= 2; }));
    CHECK(ranks.spreadOverZones(absl::StrCat(tenant), 5) == spread);
  }
  CHECK(ranks.spreadOverZones("tenant", 2).size() == 2);
}

}  // namespace
}  // namespace quincewick::routing
