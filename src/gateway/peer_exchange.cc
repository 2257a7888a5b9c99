#include "gateway/peer_exchange.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <utility>

namespace quincewick::gateway {
namespace {

using boost::asio::ip::udp;

constexpr absl::Duration kDigestInterval = absl::Milliseconds(125);
constexpr size_t kSmallSite = 16;  // peers of a site in which all are near
constexpr size_t kNearATick = 8;
constexpr uint32_t kTicksForFar = 4;                           // between digests to far peers, one at a time
constexpr absl::Duration kSilence = absl::Milliseconds(1200);  // of a peer, on a small site
constexpr absl::Duration kRepeatAfter = absl::Milliseconds(300);
constexpr absl::Duration kAnnouncedFor = absl::Milliseconds(1500);
constexpr absl::Duration kFarSilence = absl::Milliseconds(1500);  // of another zone's reader
// What fits into one datagram, in bytes as digests are encoded.
constexpr size_t kRoom = 920;
constexpr size_t kLoadBytes = 14;
constexpr size_t kEngineBytes = 28;
constexpr size_t kPlacementBytes = 12;  // and its keys
constexpr size_t kKeyBytes = 16;
constexpr size_t kStoreBytes = 8;
constexpr size_t kCapabilityBytes = 16;
constexpr size_t kCapabilitiesKept = 512;
constexpr size_t kStoresAtMost = 32;
constexpr size_t kLoadsADatagram = kRoom / kLoadBytes;
constexpr size_t kPlacementsKept = 512;
constexpr int kDatagramsAtOnce = 4;  // to one peer

LoadDigest digestOf(const forwarding::Server& server, const forwarding::ServerLoad& load) {
  return {server.identity_hash, static_cast<uint16_t>(std::min<uint32_t>(load.running, UINT16_MAX)),
          static_cast<uint32_t>(std::min<uint64_t>(load.prefill_tokens, UINT32_MAX))};
}

}  // namespace

PeerExchange::PeerExchange(Core& core, PeerDirectory& directory)
    : core_(core), directory_(directory), socket_(core.reactor) {
  setTaker(peer::PeerModule::kRouting, [this](const NodeId& from, std::string_view payload) -> Result<void> {
    BOOST_OUTCOME_TRY(digest, decodeDigest(payload));
    takeDigest(from, digest, reactor::steadyNow());
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

// Whoever reads the store for this gateway's zone hears of it at once, and answers.
void PeerExchange::begin() {
  receive();
  for (auto& [id, peer] : directory_.peers()) {
    if (directory_.isOwnZone(peer)) {
      tell(id, peer);
    }
  }
  tick();
}

void PeerExchange::tick() {
  const absl::Time now = reactor::steadyNow();
  countPeers();
  forgetSilent(now);
  noteReading();
  takePlacements();
  takeVersions();
  takeCapabilities();
  tellInTurn(true, kNearATick, last_near_);
  if (++ticks_ % kTicksForFar == 0) {
    tellInTurn(false, 1, last_far_);
  }
  tellEngineNews();
  if (was_reading_ && ticks_ % 2 == 0) {
    tellFarReaders();
  }
  core_.timers.schedule(now + kDigestInterval, [this] { tick(); });
}

bool PeerExchange::isNear(const Peer& peer) const {
  return directory_.peers().size() <= kSmallSite || directory_.isOwnZone(peer);
}

void PeerExchange::countPeers() {
  const auto& peers = directory_.peers();
  near_peers_ = static_cast<size_t>(
      std::count_if(peers.begin(), peers.end(), [this](const auto& entry) { return isNear(entry.second); }));
  far_peers_ = peers.size() - near_peers_;
}

absl::Duration PeerExchange::silence(bool is_near) const {
  constexpr double rounds = 4;
  const size_t ticks_a_round =
      is_near ? (near_peers_ + kNearATick - 1) / kNearATick : far_peers_ * kTicksForFar;
  return std::max(kSilence, kDigestInterval * rounds * static_cast<double>(ticks_a_round));
}

void PeerExchange::announceOrders(absl::Time until) {
  if (directory_.authenticator() == nullptr) {
    return;
  }
  gives_orders_until_ = until;
  for (auto& [id, peer] : directory_.peers()) {
    tell(id, peer);
  }
}

void PeerExchange::announce(const EngineDigest& engine) {
  std::erase_if(engine_news_,
                [&engine](const EngineNews& news) { return news.engine.server == engine.server; });
  const absl::Duration closed = absl::Milliseconds(engine.closed_ms);
  const absl::Time now = reactor::steadyNow();
  engine_news_.push_back({++last_news_, engine, now + std::max(closed, kAnnouncedFor), now + kRepeatAfter});
}

void PeerExchange::noteReading() {
  const bool is_reading = reads_well_();
  const bool begins = is_reading && !was_reading_;
  was_reading_ = is_reading;
  if (!begins || directory_.authenticator() == nullptr) {
    return;
  }
  for (auto& [id, peer] : directory_.peers()) {
    tell(id, peer);
  }
}

void PeerExchange::takePlacements() {
  for (Core::UnreportedPlacement& placement : core_.unreported_placements) {
    addPlacement({placement.server, std::move(placement.keys)}, Origin::kOwn);
  }
  core_.unreported_placements.clear();
}

// One gateway's misdirected request is enough: the others hear of the engine's version before they send
// theirs.
void PeerExchange::takeVersions() {
  for (const Core::UnreportedVersion& news : core_.unreported_versions) {
    announce({news.server, hashOf(news.model.value()), news.version.value(), 0});
  }
  core_.unreported_versions.clear();
}

void PeerExchange::takeCapabilities() {
  for (const Core::UnreportedCapability& news : core_.unreported_capabilities) {
    addCapability({news.server, messageOf(news.capability)}, Origin::kOwn);
  }
  core_.unreported_capabilities.clear();
}

void PeerExchange::addCapability(const CapabilityDigest& capability, Origin origin) {
  std::erase_if(capability_news_, [&capability](const CapabilityNews& news) {
    return news.capability.server == capability.server;
  });
  capability_news_.push_back({++last_news_, capability, origin});
  if (capability_news_.size() > kCapabilitiesKept) {
    capability_news_.pop_front();
  }
}

void PeerExchange::addPlacement(PlacementDigest placement, Origin origin) {
  placement_news_.push_back({++last_news_, std::move(placement), origin});
  if (placement_news_.size() > kPlacementsKept) {
    placement_news_.pop_front();
  }
}

bool PeerExchange::isFarReader(const Peer& peer, absl::Time now) const {
  return !isNear(peer) && peer.reads_well && now - peer.heard <= kFarSilence;
}

bool PeerExchange::concerns(Origin origin, const Peer& peer) const {
  return isNear(peer) ? origin != Origin::kZone : was_reading_ && peer.reads_well && origin != Origin::kFar;
}

bool PeerExchange::hasPlacementsFor(const Peer& peer) const {
  return std::any_of(placement_news_.begin(), placement_news_.end(), [&](const PlacementNews& news) {
    return news.number > peer.told_placements && concerns(news.origin, peer);
  });
}

void PeerExchange::tellInTurn(bool near, size_t most, NodeId& last) {
  auto& peers = directory_.peers();
  auto next = peers.upper_bound(last);
  size_t told = 0;
  for (size_t looked = 0; looked < peers.size() && told < most; ++looked) {
    next = next == peers.end() ? peers.begin() : next;
    auto& [id, peer] = *next++;
    if (isNear(peer) == near) {
      tell(id, peer);
      last = id;
      ++told;
    }
  }
}

void PeerExchange::tellEngineNews() {
  const absl::Time now = reactor::steadyNow();
  std::erase_if(engine_news_, [now](const EngineNews& news) { return news.until <= now; });
  for (EngineNews& news : engine_news_) {
    if (now >= news.repeat) {
      news.number = ++last_news_;
      news.repeat = absl::InfiniteFuture();
    }
  }
  std::sort(engine_news_.begin(), engine_news_.end(),
            [](const EngineNews& left, const EngineNews& right) { return left.number < right.number; });
  if (engine_news_.empty()) {
    return;
  }
  for (auto& [id, peer] : directory_.peers()) {
    while (peer.told_engines < engine_news_.back().number) {
      tell(id, peer);
    }
  }
}

// Readers of other zones that were heard of lately; one that only told that it reads is told back, too.
void PeerExchange::tellFarReaders() {
  const absl::Time now = reactor::steadyNow();
  const std::vector<LoadPart> parts = cutIntoParts(zoneLoads(), kLoadsADatagram);
  for (auto& [id, peer] : directory_.peers()) {
    if (isNear(peer) || !peer.reads_well) {
      continue;
    }
    for (const LoadPart& part : parts) {
      PeerDigest digest = emptyDigest();
      digest.zones.push_back({core_.settings.zone.value(), part});
      send(id, peer, digest);
    }
    if (isFarReader(peer, now)) {
      tell(id, peer);
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

PeerDigest PeerExchange::emptyDigest() const {
  PeerDigest digest;
  digest.address = *core_.settings.listen.peers;
  digest.zone = core_.settings.zone.value();
  digest.capacity = core_.settings.capacity;
  digest.gateways_known = static_cast<uint32_t>(core_.budget.nodesKnown());
  digest.reads_well = was_reading_;
  digest.seeks_reader = seeks_reader_();
  digest.gives_orders = reactor::steadyNow() < gives_orders_until_;
  return digest;
}

// What the peer wasn't told yet, as far as it has room.
PeerDigest PeerExchange::newsFor(Peer& peer, std::optional<LoadPart> load, absl::Time now) {
  PeerDigest digest = emptyDigest();
  digest.has_news = true;
  digest.load = std::move(load);
  if (was_reading_ && directory_.isOwnZone(peer)) {
    digest.dead_stores.assign(core_.unreachable_cache_stores.begin(), core_.unreachable_cache_stores.end());
    digest.dead_stores.resize(std::min(digest.dead_stores.size(), kStoresAtMost));
  }
  const size_t load_bytes = digest.load ? kLoadBytes * digest.load->loads.size() : 0;
  size_t room = kRoom - load_bytes - std::min(kRoom - load_bytes, kStoreBytes * digest.dead_stores.size());
  for (const EngineNews& news : engine_news_) {
    if (news.number > peer.told_engines && room >= kEngineBytes) {
      EngineDigest engine = news.engine;
      const absl::Duration left = news.until - now;
      engine.closed_ms = engine.closed_ms == 0 ? 0 : static_cast<uint32_t>(absl::ToInt64Milliseconds(left));
      digest.engines.push_back(engine);
      peer.told_engines = news.number;
      room -= kEngineBytes;
    }
  }
  for (const CapabilityNews& news : capability_news_) {
    if (news.number <= peer.told_capabilities || !concerns(news.origin, peer)) {
      continue;
    }
    if (room < kCapabilityBytes) {
      break;
    }
    digest.capabilities.push_back(news.capability);
    peer.told_capabilities = news.number;
    room -= kCapabilityBytes;
  }
  for (const PlacementNews& news : placement_news_) {
    if (news.number <= peer.told_placements || !concerns(news.origin, peer)) {
      continue;
    }
    const size_t bytes = kPlacementBytes + kKeyBytes * news.placement.keys.size();
    if (bytes > room) {
      break;
    }
    digest.placements.push_back(news.placement);
    peer.told_placements = news.number;
    room -= bytes;
  }
  return digest;
}

// The news go beside the last part of the loads, as far as there is room; what is left of them follows.
void PeerExchange::tell(const NodeId& id, Peer& peer) {
  const absl::Time now = reactor::steadyNow();
  std::vector<LoadPart> parts =
      isNear(peer) ? cutIntoParts(ownLoads(), kLoadsADatagram) : std::vector<LoadPart>();
  for (size_t index = 0; index + 1 < parts.size(); ++index) {
    PeerDigest digest = emptyDigest();
    digest.load = std::move(parts[index]);
    send(id, peer, digest);
  }
  std::optional<LoadPart> last = parts.empty() ? std::nullopt : std::optional(std::move(parts.back()));
  int datagrams = 0;
  do {
    send(id, peer, newsFor(peer, std::exchange(last, std::nullopt), now));
    ++datagrams;
  } while (datagrams < kDatagramsAtOnce && hasPlacementsFor(peer));
  if (!was_reading_ || !isNear(peer)) {
    return;
  }
  for (const auto& [name, zone] : far_zones_) {
    if (!zone.is_at_first_hand) {
      continue;
    }
    for (const LoadPart& part : zone.parts) {
      PeerDigest digest = emptyDigest();
      digest.zones.push_back({name, part});
      send(id, peer, digest);
    }
  }
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
  const auto sealed = directory_.authenticator()->seal(peer::Channel::kDatagram, id, module, payload);
  boost::system::error_code ignored;
  const udp::endpoint endpoint(boost::asio::ip::make_address(peer.address.host, ignored), peer.address.port);
  socket_.send_to(boost::asio::buffer(sealed.bytes), endpoint, 0, ignored);
}

bool PeerExchange::isLive(const Peer& peer, absl::Time now) const {
  return now - peer.heard <= silence(isNear(peer));
}

bool PeerExchange::hearsNobody(absl::Time now) const {
  const auto& peers = directory_.peers();
  const bool hears_any = std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
    return isNear(entry.second) && isLive(entry.second, now);
  });
  return near_peers_ > 0 && !hears_any;
}

void PeerExchange::sendToAll(peer::PeerModule module, const std::string& payload) {
  if (directory_.authenticator() == nullptr) {
    return;
  }
  for (const auto& [id, peer] : directory_.peers()) {
    send(id, peer, module, payload);
  }
}

bool PeerExchange::hearsReader(absl::Time now) const {
  const auto& peers = directory_.peers();
  return std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return isFarReader(peer, now) || (isNear(peer) && peer.reads_well && isLive(peer, now));
  });
}

void PeerExchange::forgetSilent(absl::Time now) {
  for (auto& [id, peer] : directory_.peers()) {
    if (peer.heard != absl::InfinitePast() && !isLive(peer, now)) {
      core_.log.event("peer_down", now).with("peer", id.value());
      peer.heard = absl::InfinitePast();
      peer.reads_well = false;
      core_.directory.forgetPeerLoad(id);
    }
  }
  absl::erase_if(far_zones_, [this, now](const auto& entry) {
    const bool is_silent = now - entry.second.heard > kFarSilence;
    if (is_silent) {
      core_.directory.forgetFarLoad(ZoneName(entry.first));
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
