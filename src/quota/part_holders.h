// The gateways among which something limited is divided into parts, one holder each, whether that gateway is
// up or not. Only the holder gives out a part, so that the sum over all gateways stays within the limit
// whoever crashes, freezes or is partitioned.
//
// After a change of the members a part is given out only by the gateway that held it before and still does; a
// new holder waits until all gateways know of the change. Pure; `now` never goes back.
#pragma once

#include <absl/time/time.h>

#include <string_view>
#include <vector>

#include "routing/keeper_ranks.h"

namespace quincewick::quota {

class PartHolders {
 public:
  // All gateways of the site, including this one.
  void setMembers(const std::vector<routing::KeeperMember>& members);
  // Called several times a second.
  void onHeartbeat(absl::Time now);

  // The holders of the subject's parts, at most `parts`, in the order that all gateways use.
  std::vector<NodeId> holdersOf(std::string_view subject, size_t parts);
  // This node's place among them in each view that other gateways may still go by, the present one first;
  // empty if it is no holder in one of them and so may not give out a part.
  std::vector<size_t> placesOf(std::string_view subject, size_t parts, const NodeId& node);

  routing::KeeperRanks& ranks() { return ranks_; }
  bool isEmpty() const { return members_.empty(); }

 private:
  struct View {
    routing::KeeperRanks ranks;
    absl::Time replaced_at = absl::InfiniteFuture();
  };

  routing::KeeperRanks ranks_;
  std::vector<routing::KeeperMember> members_;
  std::vector<View> earlier_views_;
};

}  // namespace quincewick::quota
