// Which node queries and speaks for which back end: every node works it out alike, without talking.
#pragma once

#include <vector>

#include "types/back_end.h"
#include "types/identifiers.h"

namespace quincewick::fleet {

// A live node.
struct FleetMember {
  NodeId id;
  ZoneName zone;

  friend auto operator<=>(const FleetMember&, const FleetMember&) = default;  // NOLINT
};

// Ranks nodes by rendezvous hashing of (key, node), the best first; at most `count`.
std::vector<NodeId> rankMembers(const std::vector<FleetMember>& members, const std::string& key,
                                size_t count);

// Returns the owner: the first-ranked live node of the back end's zone, or of the site if its zone has none.
// Empty if there are no members. The loss of a node moves only the back ends that it owned.
NodeId ownerOf(const std::vector<FleetMember>& members, const BackEndId& back_end, const ZoneName& zone);

}  // namespace quincewick::fleet
