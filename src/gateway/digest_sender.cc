#include "gateway/digest_sender.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace quincewick::gateway {
namespace {

constexpr int kMaxDatagramsPerSend = 4;  // to one peer

}  // namespace

// The updates go with the last part of the loads as far as they fit, and the remaining ones afterwards.
void DigestSender::sendReport(const NodeId& id, Peer& peer, const PeerReport& report, absl::Time now) const {
  const PeerSubscription subscription = subscription_(peer);
  std::optional<LoadPart> load;
  if (subscription.own_loads) {
    for (size_t index = 0; index + 1 < report.own_loads.size(); ++index) {
      PeerDigest digest = report.header;
      digest.load = report.own_loads[index];
      send_(id, peer, digest);
    }
    load = report.own_loads.back();
  }
  int datagrams = 0;
  do {
    PeerDigest digest = report.header;
    digest.has_updates = true;
    digest.load = std::exchange(load, std::nullopt);
    if (subscription.dead_stores) {
      digest.dead_stores = report.dead_stores;
    }
    updates_.addTo(digest, peer.sent, subscription.origins, now);
    send_(id, peer, digest);
    ++datagrams;
  } while (datagrams < kMaxDatagramsPerSend && updates_.hasPlacements(peer.sent, subscription.origins));
  if (!subscription.far_zones) {
    return;
  }
  for (const ZoneDigest& zone : report.far_zones) {
    PeerDigest digest = report.header;
    digest.zones.push_back(zone);
    send_(id, peer, digest);
  }
}

bool DigestSender::sendEngineUpdates(Peers& peers, const PeerDigest& header, NodeId& last,
                                     absl::Time now) const {
  for (size_t sent = 0; sent < kMaxEngineDigestsPerTurn; ++sent) {
    const auto next = nextWithoutEngineUpdates(peers, last, now);
    if (next == peers.end()) {
      return false;
    }
    auto& [id, peer] = *next;
    PeerDigest digest = header;
    updates_.addEnginesTo(digest, peer.sent, now);
    send_(id, peer, digest);
    last = id;
  }
  return nextWithoutEngineUpdates(peers, last, now) != peers.end();
}

// The first peer after `last`, in a circle, that wasn't sent all engine updates.
DigestSender::Peers::iterator DigestSender::nextWithoutEngineUpdates(Peers& peers, const NodeId& last,
                                                                     absl::Time now) const {
  const auto is_pending = [&](const auto& entry) { return updates_.hasEngines(entry.second.sent, now); };
  const auto after_last = peers.upper_bound(last);
  const auto found = std::find_if(after_last, peers.end(), is_pending);
  if (found != peers.end()) {
    return found;
  }
  const auto wrapped = std::find_if(peers.begin(), after_last, is_pending);
  return wrapped == after_last ? peers.end() : wrapped;
}

}  // namespace quincewick::gateway
