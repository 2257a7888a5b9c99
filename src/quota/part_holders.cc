#include "quota/part_holders.h"

#include <algorithm>

namespace quincewick::quota {
namespace {

// Bounds the time for which gateways know different members.
constexpr absl::Duration kViewPropagation = absl::Seconds(8);

}  // namespace

void PartHolders::setMembers(const std::vector<routing::KeeperMember>& members) {
  if (members == members_) {
    return;
  }
  if (!members_.empty()) {
    earlier_views_.push_back({ranks_, absl::InfiniteFuture()});
  }
  members_ = members;
  ranks_.setMembers(members);
}

void PartHolders::onHeartbeat(absl::Time now) {
  for (View& view : earlier_views_) {
    view.replaced_at = std::min(view.replaced_at, now);
  }
  std::erase_if(earlier_views_,
                [now](const View& view) { return now - view.replaced_at > kViewPropagation; });
}

std::vector<NodeId> PartHolders::holdersOf(std::string_view subject, size_t parts) {
  return ranks_.spreadOverZones(subject, parts);
}

std::vector<size_t> PartHolders::placesOf(std::string_view subject, size_t parts, const NodeId& node) {
  std::vector<size_t> places;
  const auto add = [&](routing::KeeperRanks& ranks) {
    const std::vector<NodeId> holders = ranks.spreadOverZones(subject, parts);
    const auto found = std::find(holders.begin(), holders.end(), node);
    if (found == holders.end()) {
      return false;
    }
    places.push_back(static_cast<size_t>(found - holders.begin()));
    return true;
  };
  bool is_holder = add(ranks_);
  for (View& view : earlier_views_) {
    is_holder = is_holder && add(view.ranks);
  }
  return is_holder ? places : std::vector<size_t>();
}

}  // namespace quincewick::quota
