#include "gateway/peer_exchange.h"

#include <openssl/rand.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "types/address_text.h"

namespace quincewick::gateway {
namespace {

using boost::asio::ip::udp;

constexpr const char* kTable = "gateway-peers";
constexpr const char* kKeyRow = "!key";  // sorts before the gateways' rows
constexpr uint32_t kRowsAtOnce = 500;
constexpr absl::Duration kDigestInterval = absl::Milliseconds(125);
constexpr size_t kPeersATick = 8;
constexpr absl::Duration kSilence = absl::Milliseconds(1200);  // of a peer, on a small site
constexpr absl::Duration kRowsInterval = absl::Seconds(10);
constexpr absl::Duration kRetryPause = absl::Milliseconds(300);
constexpr absl::Duration kAnnouncedFor = absl::Milliseconds(1500);
constexpr size_t kLoadsAtMost = 32;
constexpr size_t kPlacementsAtMost = 8;
constexpr size_t kEnginesAtMost = 8;

uint64_t hashOf(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

std::string newSecret() {
  std::string secret(peer::kMinimumSecretSize, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(secret.data()), static_cast<int>(secret.size()));
  return secret;
}

}  // namespace

PeerExchange::PeerExchange(Core& core) : core_(core), store_(core), socket_(core.reactor) {}

void PeerExchange::start() {
  if (!core_.settings.listen.peers) {
    return;
  }
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
  findKey();
}

// The key's row is written once, by the first gateway that finds none.
void PeerExchange::findKey() {
  store_.read(kTable, kKeyRow, 1, [this](StoreStatus status, const forwarding::StoreRows& answer) {
    const bool is_there =
        status == StoreStatus::kDone && !answer.rows.empty() && answer.rows.front().key == kKeyRow;
    if (is_there) {
      takeKey(answer.rows.front().value, answer.clock);
      return;
    }
    if (status != StoreStatus::kDone) {
      core_.timers.schedule(reactor::steadyNow() + kRetryPause, [this] { findKey(); });
      return;
    }
    forwarding::StoreRow row;
    row.table = kTable;
    row.key = kKeyRow;
    row.value = newSecret();
    store_.write(row, 0,
                 [this](StoreStatus /*status*/, const forwarding::StoreRows& /*rows*/) { findKey(); });
  });
}

void PeerExchange::takeKey(const std::string& secret, absl::Duration store_clock) {
  const peer::KeyId id(1);
  auto ring = peer::KeyRing::make({{id, secret}}, id);
  if (ring.has_error()) {
    core_.log.event("peers_unheard", reactor::steadyNow()).with("why", ring.error().message);
    return;
  }
  // The store's clock never goes back, unlike a machine's time of day.
  const Incarnation incarnation(static_cast<uint64_t>(absl::ToInt64Milliseconds(store_clock)));
  authenticator_ =
      std::make_unique<peer::Authenticator>(core_.settings.gateway_id, incarnation, std::move(ring.value()));
  writeOwnRow();
  receive();
  tick();
}

void PeerExchange::writeOwnRow() {
  forwarding::StoreRow row;
  row.table = kTable;
  row.key = core_.settings.gateway_id.value();
  row.value = printAddress(*core_.settings.listen.peers);
  store_.read(kTable, row.key, 1, [this, row](StoreStatus status, const forwarding::StoreRows& answer) {
    const bool is_there = !answer.rows.empty() && answer.rows.front().key == row.key;
    if (status == StoreStatus::kDone && is_there && answer.rows.front().value == row.value) {
      return;
    }
    const uint64_t expected = is_there ? answer.rows.front().version : 0;
    const auto again = [this](StoreStatus written, const forwarding::StoreRows& /*rows*/) {
      if (written != StoreStatus::kDone) {
        core_.timers.schedule(reactor::steadyNow() + kRetryPause, [this] { writeOwnRow(); });
      }
    };
    if (status == StoreStatus::kDone) {
      store_.write(row, expected, again);
    } else {
      again(status, answer);
    }
  });
}

void PeerExchange::readRows() {
  store_.read(kTable, "", kRowsAtOnce, [this](StoreStatus status, const forwarding::StoreRows& answer) {
    if (status != StoreStatus::kDone) {
      return;
    }
    for (const forwarding::StoreRow& row : answer.rows) {
      const std::optional<Address> address = parseAddress(row.value);
      const NodeId id(row.key);
      if (row.key != kKeyRow && address && id != core_.settings.gateway_id) {
        peers_[id].address = *address;
      }
    }
  });
}

void PeerExchange::tick() {
  const absl::Time now = reactor::steadyNow();
  if (now >= next_rows_) {
    next_rows_ = now + kRowsInterval;
    readRows();
  }
  forgetSilent(now);
  sendDigest(kPeersATick);
  core_.timers.schedule(now + kDigestInterval, [this] { tick(); });
}

void PeerExchange::announce(const EngineDigest& engine) {
  const absl::Time now = reactor::steadyNow();
  const absl::Duration closed = absl::Milliseconds(engine.closed_ms);
  engines_[engine.server] = {engine, now + std::max(closed, kAnnouncedFor)};
  if (authenticator_ != nullptr) {
    sendDigest(peers_.size());
  }
}

PeerDigest PeerExchange::makeDigest(absl::Time now) {
  PeerDigest digest;
  digest.address = *core_.settings.listen.peers;
  for (const auto& [id, server] : core_.directory.all()) {
    if (server->own.running > 0 && digest.loads.size() < kLoadsAtMost) {
      const auto running = static_cast<uint16_t>(std::min<uint32_t>(server->own.running, UINT16_MAX));
      const auto prefill = static_cast<uint32_t>(std::min<uint64_t>(server->own.prefill_tokens, UINT32_MAX));
      digest.loads.push_back({server->identity_hash, running, prefill});
    }
  }
  for (const Core::NewPlacement& placement : core_.new_placements) {
    if (digest.placements.size() < kPlacementsAtMost) {
      digest.placements.push_back({hashOf(placement.server_id), placement.keys});
    }
  }
  core_.new_placements.clear();
  absl::erase_if(engines_, [now](const auto& entry) { return entry.second.second <= now; });
  for (const auto& [server, announced] : engines_) {
    if (digest.engines.size() < kEnginesAtMost) {
      EngineDigest engine = announced.first;
      const absl::Duration left = announced.second - now;
      engine.closed_ms = engine.closed_ms == 0 ? 0 : static_cast<uint32_t>(absl::ToInt64Milliseconds(left));
      digest.engines.push_back(engine);
    }
  }
  return digest;
}

absl::Duration PeerExchange::silence() const {
  constexpr double rounds = 4;
  const size_t ticks_a_round = (peers_.size() + kPeersATick - 1) / kPeersATick;
  return std::max(kSilence, kDigestInterval * rounds * static_cast<double>(ticks_a_round));
}

void PeerExchange::sendDigest(size_t most) {
  if (peers_.empty()) {
    return;
  }
  const std::string payload = encodeDigest(makeDigest(reactor::steadyNow()));
  auto next = peers_.upper_bound(last_told_);
  for (size_t told = 0; told < std::min(most, peers_.size()); ++told) {
    next = next == peers_.end() ? peers_.begin() : next;
    const auto& [id, peer] = *next++;
    last_told_ = id;
    const auto sealed =
        authenticator_->seal(peer::Channel::kDatagram, id, peer::PeerModule::kRouting, payload);
    boost::system::error_code ignored;
    const udp::endpoint endpoint(boost::asio::ip::make_address(peer.address.host, ignored),
                                 peer.address.port);
    socket_.send_to(boost::asio::buffer(sealed.bytes), endpoint, 0, ignored);
  }
}

void PeerExchange::receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_, [this](const boost::system::error_code& error, size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          auto envelope = authenticator_->open(peer::Channel::kDatagram, {buffer_.data(), size});
          if (envelope.has_value() && envelope.value().module == peer::PeerModule::kRouting) {
            auto digest = decodeDigest(envelope.value().payload);
            if (digest.has_value()) {
              takeDigest(envelope.value().sender, digest.value(), reactor::steadyNow());
            }
          }
        }
        receive();
      });
}

void PeerExchange::takeDigest(const NodeId& from, const PeerDigest& digest, absl::Time now) {
  Peer& peer = peers_[from];
  if (now - peer.heard > silence()) {
    core_.log.event("peer_up", now).with("peer", from.value());
  }
  peer.address = digest.address;
  peer.heard = now;
  std::vector<forwarding::PeerLoad> loads;
  loads.reserve(digest.loads.size());
  for (const LoadDigest& load : digest.loads) {
    loads.push_back({load.server, {load.running, load.prefill_tokens}});
  }
  core_.directory.setPeerLoad(from, std::move(loads));
  for (const PlacementDigest& placement : digest.placements) {
    if (const auto server = core_.directory.findByHash(placement.server)) {
      core_.placement.noteKept(server->slot, placement.keys, now);
    }
  }
  for (const EngineDigest& engine : digest.engines) {
    takeEngine(engine, now);
  }
}

void PeerExchange::takeEngine(const EngineDigest& engine, absl::Time now) {
  const auto server = core_.directory.findByHash(engine.server);
  if (server == nullptr) {
    return;
  }
  server->loading_until =
      engine.closed_ms == 0 ? absl::InfinitePast() : now + absl::Milliseconds(engine.closed_ms);
  for (const LoadedModel& model : server->entry.models) {
    if (hashOf(model.model.value()) == engine.model) {
      forwarding::ServerDirectory::noteVersion(*server, ModelName(model.model),
                                               WeightsVersion(engine.version));
      return;
    }
  }
}

void PeerExchange::forgetSilent(absl::Time now) {
  for (auto& [id, peer] : peers_) {
    if (peer.heard != absl::InfinitePast() && now - peer.heard > silence()) {
      core_.log.event("peer_down", now).with("peer", id.value());
      peer.heard = absl::InfinitePast();
      core_.directory.setPeerLoad(id, {});
    }
  }
}

std::vector<NodeId> PeerExchange::livePeers(absl::Time now) const {
  std::vector<NodeId> live;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.heard <= silence()) {
      live.push_back(id);
    }
  }
  return live;
}

}  // namespace quincewick::gateway
