// Tells the other gateways digests by datagrams and takes theirs.
//
// Loads and placements go between near peers: those of the own zone, or all on a small site. Each tick tells
// a bounded number of them, in turn: what a gateway sends a second does not grow with the site, only the age
// of what it knows. A zone's reader of the store tells the readers of other zones what its zone does, and its
// zone what they tell. Other far peers hear a digest now and then, and all hear at once of engines that are
// closed for new weights.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "gateway/core.h"
#include "gateway/peer_digest.h"
#include "gateway/peer_directory.h"

namespace quincewick::gateway {

class PeerExchange {
 public:
  PeerExchange(Core& core, PeerDirectory& directory);

  // Whether this gateway reads the store and gets answers, or looks for one that does, as peers are told.
  void setReaderStatus(std::function<bool()> is_zone_reader, std::function<bool()> seeks_reader) {
    is_zone_reader_ = std::move(is_zone_reader);
    seeks_reader_ = std::move(seeks_reader);
  }
  // Binds the address for peers; the exchange begins with `begin`, once the key is known.
  void listen();
  void begin();
  // Takes the messages of another concern that come by the same socket; what can't be read is told in the
  // log.
  using MessageHandler = std::function<Result<void>(const NodeId& from, std::string_view payload)>;
  void setMessageHandler(peer::PeerModule module, MessageHandler handler) {
    handlers_[module] = std::move(handler);
  }
  // Sends such a message; lost like any datagram, also where the peer isn't known.
  void sendTo(const NodeId& id, peer::PeerModule module, const std::string& payload);
  // The same to every peer that is known.
  void sendToAll(peer::PeerModule module, const std::string& payload);
  // Becoming the zone's reader is told to all, at once.
  void updateReaderStatus();
  // This gateway holds the lease for orders until then: all peers hear of it soon.
  void announceOrderLease(absl::Time until);
  // When a peer last told that it gives orders.
  absl::Time lastOrderAnnouncement() const { return last_order_announcement_; }
  // Tells all peers about an engine soon: it was closed, or has a version now.
  void announce(const EngineDigest& engine);
  // Ids of peers heard of lately, in order.
  std::vector<NodeId> livePeers(absl::Time now) const;
  bool isLive(const Peer& peer, absl::Time now) const;
  // Whether any peer was heard lately that reads the store and gets answers.
  bool hasLiveReader(absl::Time now) const;
  // Whether there are near peers, and all of them are silent.
  bool areNearPeersSilent(absl::Time now) const;

 private:
  struct EngineUpdate {
    uint64_t number = 0;
    EngineDigest engine;
    absl::Time until;
    absl::Time repeat;  // then it is told once more, for datagrams get lost
  };
  enum class Origin : uint8_t { kOwn, kZone, kFar };
  struct PlacementUpdate {
    uint64_t number = 0;
    PlacementDigest placement;
    Origin origin = Origin::kOwn;
  };
  struct CapabilityUpdate {
    uint64_t number = 0;
    CapabilityDigest capability;
    Origin origin = Origin::kOwn;
  };
  struct FarZone {
    std::vector<LoadPart> parts;  // by number, as they were heard last
    absl::Time last_received;
    bool is_direct = false;  // from that zone's reader: it is passed on to the own zone
  };

  void tick();
  bool isNear(const Peer& peer) const;
  void countPeers();
  // For how long a peer may be unheard before it counts as down.
  absl::Duration silenceTimeout(bool is_near) const;
  void collectPlacements();
  void collectVersions();
  void collectCapabilities();
  void addPlacement(PlacementDigest placement, Origin origin);
  void addCapability(const CapabilityDigest& capability, Origin origin);
  bool isFarReader(const Peer& peer, absl::Time now) const;
  bool isRelevantTo(Origin origin, const Peer& peer) const;
  // Tells up to `most` peers of the kind in turn, those behind `last` first.
  void sendInTurn(bool near, size_t most, NodeId& last);
  void sendEngineUpdates();
  void sendToFarReaders();
  std::vector<LoadDigest> ownLoads() const;
  std::vector<LoadDigest> zoneLoads() const;
  void sendUpdates(const NodeId& id, Peer& peer);
  void send(const NodeId& id, const Peer& peer, peer::PeerModule module, const std::string& payload);
  void send(const NodeId& id, const Peer& peer, const PeerDigest& digest);
  PeerDigest digestHeader() const;
  // With a part of the loads beside them.
  PeerDigest updatesFor(Peer& peer, std::optional<LoadPart> load, absl::Time now);
  bool hasPlacementUpdatesFor(const Peer& peer) const;
  void receive();
  void handleDatagram(std::string_view bytes);
  void handleZones(const Peer& from, const std::vector<ZoneDigest>& zones, absl::Time now);
  void handleDigest(const NodeId& from, const PeerDigest& digest, absl::Time now);
  void handleEngine(const EngineDigest& engine, absl::Time now);
  void handleCapability(const CapabilityDigest& capability, absl::Time now);
  void expireSilentPeers(absl::Time now);

  Core& core_;
  PeerDirectory& directory_;
  std::function<bool()> is_zone_reader_ = [] { return true; };
  std::function<bool()> seeks_reader_ = [] { return false; };
  boost::asio::ip::udp::socket socket_;
  std::array<char, 2048> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
  absl::btree_map<peer::PeerModule, MessageHandler> handlers_;
  std::deque<EngineUpdate> engine_updates_;          // the last of each engine, by rising numbers
  std::deque<PlacementUpdate> placement_updates_;    // the latest
  std::deque<CapabilityUpdate> capability_updates_;  // the last of each engine, by rising numbers
  absl::btree_map<std::string, FarZone> far_zones_;
  bool was_zone_reader_ = false;
  absl::Time order_lease_until_ = absl::InfinitePast();
  absl::Time last_order_announcement_ = absl::InfinitePast();
  uint64_t last_update_ = 0;
  NodeId last_near_;  // the round goes on behind it
  NodeId last_far_;
  size_t near_peers_ = 0;
  size_t far_peers_ = 0;
  uint32_t ticks_ = 0;
};

}  // namespace quincewick::gateway
