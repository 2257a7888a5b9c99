// Which nodes take part, and which of them speak for their zones.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/random/bit_gen_ref.h>

#include <cstddef>
#include <vector>

#include "configuration/replica_events.h"

namespace quincewick::configuration {

// Every node of a zone ranks the zone's nodes alike by rendezvous hashing, as far as they know the same
// nodes. The first one is the zone's relay: it polls the store for all.
class PeerDirectory {
 public:
  PeerDirectory(NodeId self, ZoneName zone) : self_(std::move(self)), zone_(std::move(zone)) { setPeers({}); }

  void setPeers(const std::vector<PeerNode>& peers);

  // All other nodes, as they were told.
  const std::vector<PeerNode>& peers() const { return peers_; }
  bool empty() const { return zone_peers_.empty() && remote_peers_.empty(); }
  // This node's place in its zone; 0 is the relay.
  size_t rank() const { return rank_; }
  // The other nodes of this zone, by rank.
  const std::vector<NodeId>& zonePeers() const { return zone_peers_; }
  const std::vector<NodeId>& remotePeers() const { return remote_peers_; }
  // The relays of the other zones, one each.
  const std::vector<NodeId>& remoteRelays() const { return remote_relays_; }

  // Up to `count` different nodes of a list, drawn evenly.
  static std::vector<NodeId> sample(const std::vector<NodeId>& nodes, size_t count, absl::BitGenRef random);

 private:
  NodeId self_;
  ZoneName zone_;
  size_t rank_ = 0;
  std::vector<PeerNode> peers_;
  std::vector<NodeId> zone_peers_;
  std::vector<NodeId> remote_peers_;
  std::vector<NodeId> remote_relays_;
};

}  // namespace quincewick::configuration
