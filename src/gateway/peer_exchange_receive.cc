// Receives datagrams of other gateways and applies them to the local state of peers, loads and engines.
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "gateway/peer_exchange.h"

namespace quincewick::gateway {
namespace {

std::vector<forwarding::PeerLoad> loadsOf(const std::vector<LoadDigest>& digests) {
  std::vector<forwarding::PeerLoad> loads;
  loads.reserve(digests.size());
  for (const LoadDigest& load : digests) {
    loads.push_back({load.server, {load.running, load.prefill_tokens}});
  }
  return loads;
}

forwarding::LoadShare shareOf(const LoadPart& load) {
  return {load.part, load.parts};
}

// Replaces the previous version of a part, and drops parts of an account with another number of parts.
void replacePart(std::vector<LoadPart>& parts, const LoadPart& part) {
  std::erase_if(parts,
                [&part](const LoadPart& kept) { return kept.parts != part.parts || kept.part == part.part; });
  parts.push_back(part);
}

}  // namespace

void PeerExchange::receive() {
  socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
                             [this](const boost::system::error_code& error, size_t size) {
                               if (error == boost::asio::error::operation_aborted) {
                                 return;
                               }
                               if (!error) {
                                 handleDatagram({buffer_.data(), size});
                               }
                               receive();
                             });
}

void PeerExchange::handleDatagram(std::string_view bytes) {
  const auto envelope = directory_.authenticator()->open(peer::Channel::kDatagram, bytes);
  if (envelope.has_error()) {
    core_.metrics.countRefusedDatagram();
    return;  // forged or from another site: its sender must not be able to fill the log
  }
  const NodeId& from = envelope.value().sender;
  const auto handler = handlers_.find(envelope.value().module);
  const Result<void> taken = handler == handlers_.end()
                                 ? fail(ErrorCode::kInvalidArgument, "no handler for messages of this module")
                                 : handler->second(from, envelope.value().payload);
  if (taken.has_error()) {
    core_.metrics.countRefusedDatagram();
    core_.log.event("datagram_refused", reactor::steadyNow())
        .with("peer", from.value())
        .with("why", taken.error().message);
  }
}

void PeerExchange::handleDigest(const NodeId& from, const PeerDigest& digest, absl::Time now) {
  Peer& peer = directory_.peers()[from];
  if (!isLive(peer, now)) {
    core_.log.event("peer_up", now).with("peer", from.value());
  }
  peer.address = digest.address;
  peer.zone = ZoneName(digest.zone);
  peer.capacity = digest.capacity;
  peer.is_zone_reader = digest.is_zone_reader;
  peer.last_received = now;
  core_.budget.noteNodes(std::max<size_t>(digest.gateways_known, directory_.peers().size() + 1));
  if (digest.holds_order_lease) {
    last_order_announcement_ = now;
  }
  if (digest.load) {
    core_.directory.setPeerLoad(from, shareOf(*digest.load), loadsOf(digest.load->loads));
  }
  handleZones(peer, digest.zones, now);
  const bool is_own_zone_reader = digest.is_zone_reader && !was_zone_reader_ && directory_.isOwnZone(peer);
  if (digest.has_updates && is_own_zone_reader) {
    core_.unreachable_cache_stores = {digest.dead_stores.begin(), digest.dead_stores.end()};
  }
  // Another reader of the own zone forwards its updates itself.
  const bool is_forwarded = was_zone_reader_ && far_peers_ > 0 && !(isNear(peer) && peer.is_zone_reader);
  const UpdateOrigin origin = isNear(peer) ? UpdateOrigin::kZone : UpdateOrigin::kFar;
  for (const PlacementDigest& placement : digest.placements) {
    if (const auto server = core_.directory.findByHash(placement.server)) {
      core_.placement.noteCached(server->slot, placement.keys, now);
    }
    if (is_forwarded) {
      updates_.addPlacement(placement, origin);
    }
  }
  for (const CapabilityDigest& capability : digest.capabilities) {
    handleCapability(capability, now);
    if (is_forwarded) {
      updates_.addCapability(capability, origin);
    }
  }
  for (const EngineDigest& engine : digest.engines) {
    handleEngine(engine, now);
  }
  if (digest.seeks_reader && was_zone_reader_ && directory_.isOwnZone(peer)) {
    sendReport(from, peer, currentReport());
  }
}

void PeerExchange::handleZones(const Peer& from, const std::vector<ZoneDigest>& zones, absl::Time now) {
  for (const ZoneDigest& zone : zones) {
    if (zone.zone == core_.settings.zone.value()) {
      continue;
    }
    core_.directory.setZoneLoad(ZoneName(zone.zone), shareOf(zone.load), loadsOf(zone.load.loads));
    FarZone& far = far_zones_[zone.zone];
    far.last_received = now;
    far.is_direct = from.zone.value() == zone.zone;
    if (far.is_direct) {
      replacePart(far.parts, zone.load);
    } else {
      far.parts.clear();
    }
  }
}

void PeerExchange::handleCapability(const CapabilityDigest& capability, absl::Time now) {
  const auto server = core_.directory.findByHash(capability.server);
  const auto read = capabilityFrom(capability.capability);
  if (server != nullptr && read.has_value()) {
    server->capability = {read.value(), now};
  }
}

void PeerExchange::handleEngine(const EngineDigest& engine, absl::Time now) {
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

}  // namespace quincewick::gateway
