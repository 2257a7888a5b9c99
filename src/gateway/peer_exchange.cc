#include "gateway/peer_exchange.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <iterator>
#include <utility>

#include "routing/keeper_ranks.h"

namespace quincewick::gateway {
namespace {

using boost::asio::ip::udp;

constexpr absl::Duration kDigestInterval = absl::Milliseconds(125);
constexpr size_t kSmallSitePeers = 16;  // on a site with at most so many peers, all are near
constexpr size_t kNearPeersPerTick = 8;
// Between turns that send engine updates: sockets and timers are served meanwhile.
constexpr absl::Duration kEngineTurnInterval = absl::Milliseconds(5);
constexpr absl::Duration kOversizeLogInterval = absl::Seconds(10);
constexpr uint32_t kTicksPerFarPeer = 4;  // between digests to single far peers
constexpr absl::Duration kMinSilenceTimeout = absl::Milliseconds(1200);  // reached on a small site
constexpr absl::Duration kFarReaderTimeout = absl::Milliseconds(1500);   // for another zone's reader

LoadDigest digestOf(const forwarding::Server& server, const forwarding::ServerLoad& load) {
  return {server.identity_hash, static_cast<uint16_t>(std::min<uint32_t>(load.running, UINT16_MAX)),
          static_cast<uint32_t>(std::min<uint64_t>(load.prefill_tokens, UINT32_MAX))};
}

}  // namespace

PeerExchange::PeerExchange(Core& core, PeerDirectory& directory)
    : core_(core),
      directory_(directory),
      socket_(core.reactor),
      digests_(
          updates_, [this](const Peer& peer) { return subscriptionOf(peer); },
          [this](const NodeId& to, const Peer& peer, const PeerDigest& digest) { send(to, peer, digest); }),
      further_updates_(core.timers, [this] { sendEngineUpdates(); }) {
  setMessageHandler(peer::PeerModule::kRouting,
                    [this](const NodeId& from, std::string_view payload) -> Result<void> {
                      BOOST_OUTCOME_TRY(digest, decodeDigest(payload));
                      handleDigest(from, digest, reactor::steadyNow());
                      return outcome::success();
                    });
}

void PeerExchange::listen() {
  const Address& address = *core_.settings.listen.peers;
  boost::system::error_code error;
  const udp::endpoint endpoint(boost::asio::ip::make_address(address.host, error), address.port);
  socket_.open(endpoint.protocol(), error);
  socket_.bind(endpoint, error);
  if (error) {
    core_.log.event("peers_unheard", reactor::steadyNow()).with("why", error.message());
    return;
  }
  socket_.non_blocking(true, error);
}

// Sends to the own zone at once: its reader learns of this gateway and replies.
void PeerExchange::begin() {
  receive();
  const PeerReport report = currentReport();
  for (auto& [id, peer] : directory_.peers()) {
    if (directory_.isOwnZone(peer)) {
      sendReport(id, peer, report);
    }
  }
  tick();
}

void PeerExchange::tick() {
  const absl::Time now = reactor::steadyNow();
  countPeers();
  expireSilentPeers(now);
  updateReaderStatus();
  collectPlacements();
  collectVersions();
  collectCapabilities();
  sendInTurn(true, kNearPeersPerTick, last_near_);
  if (++ticks_ % kTicksPerFarPeer == 0) {
    sendInTurn(false, 1, last_far_);
  }
  sendEngineUpdates();
  if (was_zone_reader_ && ticks_ % 2 == 0) {
    sendToFarReaders();
  }
  core_.timers.schedule(now + kDigestInterval, [this] { tick(); });
}

bool PeerExchange::isNear(const Peer& peer) const {
  return directory_.peers().size() <= kSmallSitePeers || directory_.isOwnZone(peer);
}

void PeerExchange::countPeers() {
  const auto& peers = directory_.peers();
  near_peers_ = static_cast<size_t>(
      std::count_if(peers.begin(), peers.end(), [this](const auto& entry) { return isNear(entry.second); }));
  far_peers_ = peers.size() - near_peers_;
}

absl::Duration PeerExchange::silenceTimeout(bool is_near) const {
  constexpr double rounds = 4;
  const size_t ticks_per_round =
      is_near ? (near_peers_ + kNearPeersPerTick - 1) / kNearPeersPerTick : far_peers_ * kTicksPerFarPeer;
  return std::max(kMinSilenceTimeout, kDigestInterval * rounds * static_cast<double>(ticks_per_round));
}

void PeerExchange::announceOrderLease(absl::Time until) {
  if (directory_.authenticator() == nullptr) {
    return;
  }
  order_lease_until_ = until;
  sendReportToAll();
}

void PeerExchange::announce(const EngineDigest& engine) {
  updates_.addEngine(engine, reactor::steadyNow());
}

void PeerExchange::updateReaderStatus() {
  const bool is_reader_now = is_zone_reader_();
  const bool becomes_reader = is_reader_now && !was_zone_reader_;
  was_zone_reader_ = is_reader_now;
  if (!becomes_reader || directory_.authenticator() == nullptr) {
    return;
  }
  sendReportToAll();
}

void PeerExchange::sendReportToAll() {
  const PeerReport report = currentReport();
  for (auto& [id, peer] : directory_.peers()) {
    sendReport(id, peer, report);
  }
}

void PeerExchange::collectPlacements() {
  for (Core::UnreportedPlacement& placement : core_.unreported_placements) {
    updates_.addPlacement({placement.server, std::move(placement.keys)}, UpdateOrigin::kOwn);
  }
  core_.unreported_placements.clear();
}

// After one gateway's misdirected request, the others learn the engine's version before they misdirect
// theirs.
void PeerExchange::collectVersions() {
  for (const Core::UnreportedVersion& update : core_.unreported_versions) {
    announce({update.server, hashOf(update.model.value()), update.version.value(), 0});
  }
  core_.unreported_versions.clear();
}

void PeerExchange::collectCapabilities() {
  for (const Core::UnreportedCapability& update : core_.unreported_capabilities) {
    updates_.addCapability({update.server, messageOf(update.capability)}, UpdateOrigin::kOwn);
  }
  core_.unreported_capabilities.clear();
}

bool PeerExchange::isFarReader(const Peer& peer, absl::Time now) const {
  return !isNear(peer) && peer.is_zone_reader && now - peer.last_received <= kFarReaderTimeout;
}

// A reader forwards the updates of its zone to the readers of other zones, and theirs to its zone.
PeerSubscription PeerExchange::subscriptionOf(const Peer& peer) const {
  PeerSubscription subscription;
  const bool is_near = isNear(peer);
  const bool is_reader_to_reader = !is_near && was_zone_reader_ && peer.is_zone_reader;
  subscription.own_loads = is_near;
  subscription.far_zones = is_near && was_zone_reader_;
  subscription.dead_stores = was_zone_reader_ && directory_.isOwnZone(peer);
  subscription.origins = {is_near || is_reader_to_reader, is_reader_to_reader, is_near};
  return subscription;
}

void PeerExchange::sendInTurn(bool near, size_t max_peers, NodeId& last) {
  auto& peers = directory_.peers();
  auto next = peers.upper_bound(last);
  const PeerReport report = currentReport();
  size_t sent = 0;
  for (size_t visited = 0; visited < peers.size() && sent < max_peers; ++visited) {
    next = next == peers.end() ? peers.begin() : next;
    auto& [id, peer] = *next++;
    if (isNear(peer) == near) {
      sendReport(id, peer, report);
      last = id;
      ++sent;
    }
  }
}

void PeerExchange::sendEngineUpdates() {
  const absl::Time now = reactor::steadyNow();
  updates_.refreshEngines(now);
  const bool is_left = digests_.sendEngineUpdates(directory_.peers(), digestHeader(), last_updated_, now);
  if (is_left) {
    further_updates_.wakeAt(now + kEngineTurnInterval);
  }
}

// Sends zone loads to all readers of other zones, and updates to those heard from recently.
void PeerExchange::sendToFarReaders() {
  const absl::Time now = reactor::steadyNow();
  const std::vector<LoadPart> parts = splitIntoParts(zoneLoads(), kLoadsPerDigest);
  const PeerReport report = currentReport();
  for (auto& [id, peer] : directory_.peers()) {
    if (isNear(peer) || !peer.is_zone_reader) {
      continue;
    }
    for (const LoadPart& part : parts) {
      PeerDigest digest = digestHeader();
      digest.zones.push_back({core_.settings.zone.value(), part});
      send(id, peer, digest);
    }
    if (isFarReader(peer, now)) {
      sendReport(id, peer, report);
    }
  }
}

std::vector<LoadDigest> PeerExchange::ownLoads() const {
  std::vector<LoadDigest> loads;
  for (const auto& [id, server] : core_.directory.all()) {
    if (server->own.running > 0) {
      loads.push_back(digestOf(*server, server->own));
    }
  }
  return loads;
}

std::vector<LoadDigest> PeerExchange::zoneLoads() const {
  std::vector<LoadDigest> loads;
  for (const auto& [id, server] : core_.directory.all()) {
    const forwarding::ServerLoad sum = {server->own.running + server->peers.running,
                                        server->own.prefill_tokens + server->peers.prefill_tokens};
    if (sum.running > 0) {
      loads.push_back(digestOf(*server, sum));
    }
  }
  return loads;
}

PeerDigest PeerExchange::digestHeader() const {
  PeerDigest digest;
  digest.address = *core_.settings.listen.peers;
  digest.zone = core_.settings.zone.value();
  digest.capacity = core_.settings.capacity;
  digest.gateways_known = static_cast<uint32_t>(core_.budget.nodesKnown());
  digest.is_zone_reader = was_zone_reader_;
  digest.seeks_reader = seeks_reader_();
  digest.holds_order_lease = reactor::steadyNow() < order_lease_until_;
  return digest;
}

PeerReport PeerExchange::currentReport() const {
  PeerReport report;
  report.header = digestHeader();
  report.own_loads = splitIntoParts(ownLoads(), kLoadsPerDigest);
  report.dead_stores.assign(core_.unreachable_cache_stores.begin(), core_.unreachable_cache_stores.end());
  report.dead_stores.resize(std::min(report.dead_stores.size(), kMaxDeadStores));
  for (const auto& [name, zone] : far_zones_) {
    if (zone.is_direct) {
      for (const LoadPart& part : zone.parts) {
        report.far_zones.push_back({name, part});
      }
    }
  }
  return report;
}

void PeerExchange::sendReport(const NodeId& id, Peer& peer, const PeerReport& report) {
  digests_.sendReport(id, peer, report, reactor::steadyNow());
}

void PeerExchange::send(const NodeId& id, const Peer& peer, const PeerDigest& digest) {
  send(id, peer, peer::PeerModule::kRouting, encodeDigest(digest));
}

void PeerExchange::sendTo(const NodeId& id, peer::PeerModule module, const std::string& payload) {
  const auto found = directory_.peers().find(id);
  if (found != directory_.peers().end() && directory_.authenticator() != nullptr) {
    send(id, found->second, module, payload);
  }
}

void PeerExchange::send(const NodeId& id, const Peer& peer, peer::PeerModule module,
                        const std::string& payload) {
  if (payload.size() > peer::kMaximumDatagramPayload) {
    noteOversized(module, payload.size());
    return;
  }
  const auto sealed = directory_.authenticator()->seal(peer::Channel::kDatagram, id, module, payload);
  boost::system::error_code ignored;
  const udp::endpoint endpoint(boost::asio::ip::make_address(peer.address.host, ignored), peer.address.port);
  socket_.send_to(boost::asio::buffer(sealed.bytes), endpoint, 0, ignored);
  core_.metrics.countDatagram(sealed.bytes.size());
}

// Receivers would drop it. All of a kind may be too large, so not each is logged.
void PeerExchange::noteOversized(peer::PeerModule module, size_t size) {
  core_.metrics.countOversizedDatagram();
  const absl::Time now = reactor::steadyNow();
  if (now - oversize_logged_ >= kOversizeLogInterval) {
    oversize_logged_ = now;
    core_.log.event("datagram_oversized", now)
        .with("module", static_cast<int64_t>(module))
        .with("bytes", static_cast<int64_t>(size));
  }
}

PeerExchange::Backlog PeerExchange::backlog(absl::Time now) const {
  Backlog backlog;
  for (const auto& [id, peer] : directory_.peers()) {
    const PeerUpdates::Pending pending = updates_.pendingEngines(peer.sent, now);
    backlog.engine_updates = std::max(backlog.engine_updates, pending.engines);
    if (pending.engines > 0) {
      backlog.oldest = std::max(backlog.oldest, now - pending.oldest);
    }
  }
  return backlog;
}

bool PeerExchange::isLive(const Peer& peer, absl::Time now) const {
  return now - peer.last_received <= silenceTimeout(isNear(peer));
}

bool PeerExchange::areNearPeersSilent(absl::Time now) const {
  const auto& peers = directory_.peers();
  const bool is_any_live = std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
    return isNear(entry.second) && isLive(entry.second, now);
  });
  return near_peers_ > 0 && !is_any_live;
}

void PeerExchange::sendToAll(peer::PeerModule module, const std::string& payload) {
  if (directory_.authenticator() == nullptr) {
    return;
  }
  for (const auto& [id, peer] : directory_.peers()) {
    send(id, peer, module, payload);
  }
}

void PeerExchange::sendToRandom(size_t count, peer::PeerModule module, const std::string& payload) {
  const auto& peers = directory_.peers();
  for (size_t sent = 0; sent < count && !peers.empty(); ++sent) {
    const auto drawn = absl::Uniform<size_t>(core_.random, 0, peers.size());
    sendTo(std::next(peers.begin(), static_cast<ptrdiff_t>(drawn))->first, module, payload);
  }
}

bool PeerExchange::ranksFirst(std::string_view subject) const {
  std::vector<routing::KeeperMember> members = {{core_.settings.gateway_id, 1}};
  for (const NodeId& peer : livePeers(reactor::steadyNow())) {
    members.push_back({peer, 1});
  }
  routing::KeeperRanks ranks;
  ranks.setMembers(std::move(members));
  const std::vector<NodeId> ranked = ranks.candidates(subject);
  return ranked.empty() || ranked.front() == core_.settings.gateway_id;
}

bool PeerExchange::hasLiveReader(absl::Time now) const {
  const auto& peers = directory_.peers();
  return std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return isFarReader(peer, now) || (isNear(peer) && peer.is_zone_reader && isLive(peer, now));
  });
}

void PeerExchange::expireSilentPeers(absl::Time now) {
  for (auto& [id, peer] : directory_.peers()) {
    if (peer.last_received != absl::InfinitePast() && !isLive(peer, now)) {
      core_.log.event("peer_down", now).with("peer", id.value());
      peer.last_received = absl::InfinitePast();
      peer.is_zone_reader = false;
      core_.directory.forgetPeerLoad(id);
    }
  }
  absl::erase_if(far_zones_, [this, now](const auto& entry) {
    const bool is_silent = now - entry.second.last_received > kFarReaderTimeout;
    if (is_silent) {
      core_.directory.forgetZoneLoad(ZoneName(entry.first));
    }
    return is_silent;
  });
}

std::vector<NodeId> PeerExchange::livePeers(absl::Time now) const {
  std::vector<NodeId> live;
  for (const auto& [id, peer] : directory_.peers()) {
    if (isLive(peer, now)) {
      live.push_back(id);
    }
  }
  return live;
}

}  // namespace quincewick::gateway
