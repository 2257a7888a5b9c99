// Exchanges digests with the other gateways by UDP datagrams.
//
// Loads and placements are exchanged between near peers: those of the own zone, or all peers on a small site.
// Each tick sends to a bounded number of them, round-robin, so that the send rate does not grow with the
// site; only the staleness of the received state does. A zone reader sends its zone's loads to the readers of
// other zones, and forwards theirs to its own zone. Other far peers are sent a digest occasionally. All peers
// are notified at once of engines that take no requests while they load weights.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <vector>

#include "gateway/core.h"
#include "gateway/digest_sender.h"
#include "gateway/peer_digest.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_updates.h"
#include "reactor/wakeup_timer.h"

namespace quincewick::gateway {

class PeerExchange {
 public:
  PeerExchange(Core& core, PeerDirectory& directory);

  // Sets the callbacks for the reader flags of sent digests: whether this gateway is a working zone reader,
  // and whether it has no reader to follow.
  void setReaderStatus(std::function<bool()> is_zone_reader, std::function<bool()> seeks_reader) {
    is_zone_reader_ = std::move(is_zone_reader);
    seeks_reader_ = std::move(seeks_reader);
  }
  // Binds the peer address. The exchange starts with `begin`, once the key is known.
  void listen();
  void begin();
  // Registers the handler for a module's messages on this socket. Messages that it rejects are logged.
  using MessageHandler = std::function<Result<void>(const NodeId& from, std::string_view payload)>;
  void setMessageHandler(peer::PeerModule module, MessageHandler handler) {
    handlers_[module] = std::move(handler);
  }
  // Sends a module's message to a peer. Delivery is not guaranteed; nothing is sent to an unknown peer.
  void sendTo(const NodeId& id, peer::PeerModule module, const std::string& payload);
  // Sends a module's message to every known peer.
  void sendToAll(peer::PeerModule module, const std::string& payload);
  // Sends a module's message to up to `count` peers drawn at random.
  void sendToRandom(size_t count, peer::PeerModule module, const std::string& payload);
  // Whether this gateway ranks first for the subject among the live gateways. Several may conclude so while
  // they see different ones live.
  bool ranksFirst(std::string_view subject) const;
  // Notifies all peers at once when this gateway becomes a zone reader.
  void updateReaderStatus();
  // Notifies all peers that this gateway holds the order lease until `until`.
  void announceOrderLease(absl::Time until);
  // When a peer last announced that it holds the order lease.
  absl::Time lastOrderAnnouncement() const { return last_order_announcement_; }
  // Queues an engine's new block or weights version to be sent to all peers soon.
  void announce(const EngineDigest& engine);
  // Engine updates that some peer wasn't sent yet: the most that one peer lacks, and the age of the oldest.
  struct Backlog {
    size_t engine_updates = 0;
    absl::Duration oldest;
  };
  Backlog backlog(absl::Time now) const;
  // Ids of the live peers, sorted.
  std::vector<NodeId> livePeers(absl::Time now) const;
  bool isLive(const Peer& peer, absl::Time now) const;
  // Whether any live peer is a working zone reader.
  bool hasLiveReader(absl::Time now) const;
  // Whether there are near peers and none of them is live.
  bool areNearPeersSilent(absl::Time now) const;

 private:
  struct FarZone {
    std::vector<LoadPart> parts;  // by number, as last received
    absl::Time last_received;
    bool is_direct = false;  // received from that zone's own reader: forwarded to the own zone
  };

  void tick();
  bool isNear(const Peer& peer) const;
  void countPeers();
  // How long a peer may be silent before it counts as down.
  absl::Duration silenceTimeout(bool is_near) const;
  void collectPlacements();
  void collectVersions();
  void collectCapabilities();
  bool isFarReader(const Peer& peer, absl::Time now) const;
  PeerSubscription subscriptionOf(const Peer& peer) const;
  // Sends to up to `max_peers` near (or far) peers, round-robin, starting after `last`.
  void sendInTurn(bool near, size_t max_peers, NodeId& last);
  void sendEngineUpdates();
  void sendToFarReaders();
  std::vector<LoadDigest> ownLoads() const;
  std::vector<LoadDigest> zoneLoads() const;
  PeerReport currentReport() const;
  void sendReport(const NodeId& id, Peer& peer, const PeerReport& report);
  void sendReportToAll();
  void send(const NodeId& id, const Peer& peer, peer::PeerModule module, const std::string& payload);
  void send(const NodeId& id, const Peer& peer, const PeerDigest& digest);
  void noteOversized(peer::PeerModule module, size_t size);
  PeerDigest digestHeader() const;
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
  PeerUpdates updates_;
  DigestSender digests_;
  reactor::WakeupTimer further_updates_;  // of engines, that the last turn left
  absl::btree_map<std::string, FarZone> far_zones_;
  bool was_zone_reader_ = false;
  absl::Time order_lease_until_ = absl::InfinitePast();
  absl::Time last_order_announcement_ = absl::InfinitePast();
  NodeId last_near_;  // where the round-robin continues
  NodeId last_far_;
  NodeId last_updated_;
  absl::Time oversize_logged_ = absl::InfinitePast();
  size_t near_peers_ = 0;
  size_t far_peers_ = 0;
  uint32_t ticks_ = 0;
};

}  // namespace quincewick::gateway
