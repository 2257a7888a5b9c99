// What the ledger knows of the site's nodes.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <vector>

#include "ledger/events.h"

namespace quincewick::ledger {

// Holds the own node, too. Not thread-safe.
class PeerTable {
 public:
  struct Peer {
    PeerState state;
    absl::Time last_reachable;
  };

  explicit PeerTable(const Member& self);

  // Takes over membership's newest knowledge. Incarnations never fall; a node that is no longer named counts
  // as out of reach.
  void update(const std::vector<PeerState>& peers, absl::Time now);

  // True when this life of the node is certainly over.
  bool isDead(const NodeId& node, Incarnation incarnation) const;
  // True when this life of the node answers, as far as is known.
  bool isReachable(const Member& member) const;
  // True when the node may be a member of a view: it answers, or did so within `grace` and may yet return.
  bool isCandidate(const Peer& peer, absl::Duration grace, absl::Time now) const;

  const absl::btree_map<NodeId, Peer>& peers() const { return peers_; }
  const Member& self() const { return self_; }

 private:
  Member self_;
  absl::btree_map<NodeId, Peer> peers_;
};

// The members that a new view should have: candidates, one a zone as far as there are zones, the current ones
// first. Their number is the greatest odd one within `group_size` and the number of candidates.
std::vector<Member> chooseMembers(const PeerTable& peers, const View& current, size_t group_size,
                                  absl::Duration grace, absl::Time now);

}  // namespace quincewick::ledger
