// A right is lent to one holder at a time, also by a process that has forgotten what its predecessor lent.
#include "admission/limit_rights.h"

#include <catch2/catch.hpp>

namespace quincewick::admission {
namespace {

using absl::Milliseconds;
using absl::Seconds;

const ZoneName kZone("zone");
const NodeId kNode("node");

// A directory of one zone with `node` and the nodes named `collector`, `rival` and so on.
std::shared_ptr<const LimitDirectory> directoryOf(const std::vector<std::string>& nodes) {
  std::vector<LimitMember> members;
  for (const std::string& node : nodes) {
    members.push_back(LimitMember{NodeId(node), kZone});
  }
  return std::make_shared<const LimitDirectory>(members);
}

size_t answersTo(LimitRights& rights, const NodeId& from, const RightsRequest& request, absl::Time now) {
  SharedLimitActions actions;
  rights.onRequest(from, request, now, actions);
  return actions.size();
}

TEST_CASE("a restarted node lends its right at once only to the collector that holds it") {
  const SharedLimitConfiguration configuration;
  const absl::Time start = absl::UnixEpoch();
  const auto directory = directoryOf({"node", "a", "b", "c"});
  const NodeId collector = directory->collectorOf(kZone);
  const RightsRequest first{RightsLevel::kNode, false, 1, SlotSet()};
  const RightsRequest renewal{RightsLevel::kNode, true, 1, SlotSet()};

  LimitRights forgetful(configuration, kNode, kZone, Incarnation(2), start);
  forgetful.setDirectory(directory);
  CHECK(answersTo(forgetful, collector, first, start + configuration.node_lease) == 0);
  CHECK(answersTo(forgetful, collector, first, start + configuration.node_lease + Milliseconds(100)) == 1);

  LimitRights renewing(configuration, kNode, kZone, Incarnation(2), start);
  renewing.setDirectory(directory);
  CHECK(answersTo(renewing, collector, renewal, start) == 1);
}

TEST_CASE("a collector lends a slot to one home at a time, and waits after its own restart") {
  const SharedLimitConfiguration configuration;
  const absl::Time start = absl::UnixEpoch();
  const auto alone = directoryOf({"node"});
  LimitRights collector(configuration, kNode, kZone, Incarnation(1), start);
  collector.setDirectory(alone);
  RightsRequest request{RightsLevel::kZone, false, 1, SlotSet()};
  request.slots.insert(3);
  const NodeId home("home");
  const NodeId rival("rival");
  // Collects the right of its only node, itself, and answers `from` after that.
  const auto answers_at = [&](absl::Time now, const NodeId& from, uint64_t sequence) {
    SharedLimitActions polls;
    collector.onTick(now, polls);
    for (const SharedLimitAction& poll : polls) {
      SharedLimitActions replies;
      const auto& message = std::get<SendToPeer>(poll).message;
      collector.onRequest(kNode, std::get<RightsRequest>(message), now, replies);
      for (const SharedLimitAction& reply : replies) {
        collector.onLease(kNode, std::get<RightsLease>(std::get<SendToPeer>(reply).message), now);
      }
    }
    request.sequence = sequence;
    return answersTo(collector, from, request, now);
  };

  absl::Time now = start + configuration.zone_lease;
  CHECK(answers_at(now, home, 1) == 0);
  now = start + configuration.node_lease + Seconds(1);
  CHECK(answers_at(now, home, 2) == 1);
  CHECK(answers_at(now + Seconds(1), rival, 1) == 0);
  CHECK(answers_at(now + Seconds(1), home, 2) == 0);  // a late duplicate
  CHECK(answers_at(now + configuration.zone_lease + Milliseconds(100), rival, 2) == 1);
  CHECK(answers_at(now + configuration.zone_lease + Milliseconds(200), home, 3) == 0);
  collector.onRelease(rival, RightsRelease{3, request.slots},
                      now + configuration.zone_lease + Milliseconds(300));
  CHECK(answers_at(now + configuration.zone_lease + Milliseconds(400), home, 4) == 1);
}

}  // namespace
}  // namespace quincewick::admission
