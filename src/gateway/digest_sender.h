// Divides what a gateway tells its peers into digests of one datagram each. Does no I/O and reads no clock.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

#include "gateway/peer.h"
#include "gateway/peer_digest.h"
#include "gateway/peer_updates.h"

namespace quincewick::gateway {

// What all peers are told in one turn, beside the updates.
struct PeerReport {
  PeerDigest header;                  // without loads and updates
  std::vector<LoadPart> own_loads;    // at least one part, maybe without loads
  std::vector<uint64_t> dead_stores;  // unreachable cache stores, by name; at most kMaxDeadStores
  std::vector<ZoneDigest> far_zones;  // loads of other zones
};

// What one peer is sent of it.
struct PeerSubscription {
  bool own_loads = false;
  bool dead_stores = false;
  bool far_zones = false;
  RelevantOrigins origins;
};

class DigestSender {
 public:
  // Bounds on the datagrams of one turn of the reactor.
  static constexpr size_t kMaxEngineDigestsPerTurn = 256;  // to all peers
  static constexpr size_t kMaxUpdateDigestsPerReport = 4;  // to one peer, beside its loads

  using Peers = absl::btree_map<NodeId, Peer>;
  using Send = std::function<void(const NodeId& to, const Peer& peer, const PeerDigest& digest)>;
  using Subscription = std::function<PeerSubscription(const Peer& peer)>;

  DigestSender(const PeerUpdates& updates, Subscription subscription, Send send)
      : updates_(updates), subscription_(std::move(subscription)), send_(std::move(send)) {}

  // Sends a peer the report and the updates that it wasn't sent, as far as they fit into a few datagrams.
  void sendReport(const NodeId& id, Peer& peer, const PeerReport& report, absl::Time now) const;
  // Sends engine updates to the peers that weren't sent them, a datagram each in turn after `last`. Returns
  // whether any are left for a further turn.
  bool sendEngineUpdates(Peers& peers, const PeerDigest& header, NodeId& last, absl::Time now) const;

 private:
  Peers::iterator nextWithoutEngineUpdates(Peers& peers, const NodeId& last, absl::Time now) const;
  // Returns whether the list of unreachable stores fits beside the digest's loads.
  static bool addStores(PeerDigest& digest, const PeerReport& report, const PeerSubscription& subscription);

  const PeerUpdates& updates_;
  Subscription subscription_;
  Send send_;
};

}  // namespace quincewick::gateway
