// Finds the other gateways through rows of the store, then tells them digests by datagrams and takes theirs.
//
// Datagrams are sealed with a key that the first gateway wrote to the store. Each tick tells a bounded number
// of peers, in turn: what a gateway sends a second does not grow with the site, only the age of what it
// knows.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gateway/core.h"
#include "gateway/peer_digest.h"
#include "gateway/store_client.h"
#include "peer/authenticator.h"

namespace quincewick::gateway {

class PeerExchange {
 public:
  explicit PeerExchange(Core& core);

  void start();
  // Tells all peers about an engine soon: it was closed, or has a version now.
  void announce(const EngineDigest& engine);
  // Ids of peers heard of lately, in order.
  std::vector<NodeId> livePeers(absl::Time now) const;

 private:
  struct Peer {
    Address address;
    absl::Time heard = absl::InfinitePast();
  };

  void findKey();
  void takeKey(const std::string& secret, absl::Duration store_clock);
  void writeOwnRow();
  void readRows();
  void tick();
  void sendDigest(size_t most);
  // For how long a peer may be unheard before it counts as down.
  absl::Duration silence() const;
  PeerDigest makeDigest(absl::Time now);
  void receive();
  void takeDigest(const NodeId& from, const PeerDigest& digest, absl::Time now);
  void takeEngine(const EngineDigest& engine, absl::Time now);
  void forgetSilent(absl::Time now);

  Core& core_;
  StoreClient store_;
  boost::asio::ip::udp::socket socket_;
  std::array<char, 2048> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
  std::unique_ptr<peer::Authenticator> authenticator_;
  absl::btree_map<NodeId, Peer> peers_;
  absl::flat_hash_map<uint64_t, std::pair<EngineDigest, absl::Time>> engines_;  // announced, until when
  NodeId last_told_;                                                            // the round goes on behind it
  absl::Time next_rows_ = absl::InfinitePast();
  uint64_t own_row_ = 0;
};

}  // namespace quincewick::gateway
