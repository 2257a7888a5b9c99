#include "fleet/records.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "fleet/ownership.h"

namespace quincewick::fleet {
namespace {

TEST_CASE("records come back as they were, and garbage is refused without harm") {
  RolloutRecord rollout;
  rollout.model = ModelName("m");
  rollout.target = WeightsVersion(7);
  rollout.phase = RolloutPhase::kPaused;
  rollout.addOperation(OperationId("a"));
  CHECK(decodeRollout(encodeRollout(rollout)).value() == rollout);
  const WindowRecord window = {Epoch(3), 9, {BackEndId("x"), BackEndId("y")}};
  CHECK(decodeWindow(encodeWindow(window)).value() == window);
  const std::string whole = encodeWindow(window);
  rc::prop("a cut record is refused", [&] {
    const auto size = *rc::gen::inRange<size_t>(1, whole.size());
    RC_ASSERT(decodeWindow(whole.substr(0, size)).has_error());
  });
  rc::prop("any other bytes are refused", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const Result<RolloutRecord> decoded = decodeRollout(bytes);
    const bool is_right = bytes.empty() ? decoded.has_value()
                                        : decoded.has_error() && decoded.error().code == ErrorCode::kInternal;
    RC_ASSERT(is_right);
  });
}

TEST_CASE("the loss of a node moves only its own back ends, and owners sit in the back end's zone") {
  std::vector<FleetMember> members;
  for (int index = 0; index < 12; ++index) {
    members.push_back(
        {NodeId("node-" + std::to_string(index)), ZoneName("zone-" + std::to_string(index % 3))});
  }
  std::vector<FleetMember> fewer = members;
  fewer.erase(fewer.begin() + 4);
  const NodeId lost = members[4].id;
  int moved = 0;
  for (int index = 0; index < 300; ++index) {
    const BackEndId engine("engine-" + std::to_string(index));
    const ZoneName zone("zone-" + std::to_string(index % 3));
    const NodeId before = ownerOf(members, engine, zone);
    const NodeId after = ownerOf(fewer, engine, zone);
    const auto owner =
        std::find_if(members.begin(), members.end(), [&](const FleetMember& m) { return m.id == before; });
    REQUIRE(owner->zone == zone);
    REQUIRE((before == after || before == lost));
    moved += before == lost ? 1 : 0;
  }
  CHECK(moved > 0);
  CHECK(ownerOf(members, BackEndId("e"), ZoneName("empty zone")) != NodeId());
  CHECK(ownerOf({}, BackEndId("e"), ZoneName("z")) == NodeId());
}

}  // namespace
}  // namespace quincewick::fleet
