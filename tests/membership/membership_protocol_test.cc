#include "membership/membership_protocol.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "tests/membership/virtual_site.h"

namespace quincewick::membership::testing {
namespace {

// How long a site may take to agree with the truth after the last fault: detection, suspicion at its longest,
// and a zone's silence.
constexpr absl::Duration kSettleTime = absl::Seconds(60);

std::unique_ptr<VirtualSite> startedSite(uint32_t zones, uint32_t nodes_per_zone, uint64_t seed) {
  auto site = std::make_unique<VirtualSite>(zones, nodes_per_zone, seed);
  site->listAll();
  site->startAll();
  return site;
}

TEST_CASE("a herd of starting nodes finds itself, and a crash, a restart and a newcomer are noticed") {
  auto site = startedSite(3, 4, 1);
  site->listGhost("ghost", 1);
  REQUIRE(site->settle(kSettleTime) == "");
  site->crash(NodeId("node-5"));
  REQUIRE(site->settle(kSettleTime) == "");
  site->start(NodeId("node-5"));
  const NodeId unlisted = site->addPlace(2);
  site->start(unlisted);
  REQUIRE(site->settle(kSettleTime) == "");
  CHECK(site->protocol(NodeId("node-0")).find(NodeId("ghost"))->record.state == MemberState::kListed);
}

}  // namespace
}  // namespace quincewick::membership::testing
