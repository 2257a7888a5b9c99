#include "gateway/digest_sender.h"

#include <algorithm>

#include "peer/envelope.h"

namespace quincewick::gateway {

bool DigestSender::addStores(PeerDigest& digest, const PeerReport& report,
                             const PeerSubscription& subscription) {
  PeerDigest with_stores = digest;
  with_stores.has_updates = true;
  if (subscription.dead_stores) {
    with_stores.dead_stores = report.dead_stores;
  }
  const bool fits = encodedSize(with_stores) <= peer::kMaximumDatagramPayload;
  if (fits) {
    digest = std::move(with_stores);
  }
  return fits;
}

// The updates go with the last part of the loads as far as they fit, and the remaining ones afterwards.
void DigestSender::sendReport(const NodeId& id, Peer& peer, const PeerReport& report, absl::Time now) const {
  const PeerSubscription subscription = subscription_(peer);
  PeerDigest digest = report.header;
  if (subscription.own_loads) {
    for (size_t index = 0; index < report.own_loads.size(); ++index) {
      if (index > 0) {
        send_(id, peer, digest);
      }
      digest.load = report.own_loads[index];
    }
  }
  if (!addStores(digest, report, subscription)) {
    send_(id, peer, digest);
    digest = report.header;
    addStores(digest, report, subscription);
  }
  for (size_t digests = 0; digests < kMaxUpdateDigestsPerReport; ++digests) {
    updates_.addTo(digest, peer.sent, subscription.origins, now);
    send_(id, peer, digest);
    if (!updates_.hasAny(peer.sent, subscription.origins, now)) {
      break;
    }
    digest = report.header;
    addStores(digest, report, subscription);
  }
  if (!subscription.far_zones) {
    return;
  }
  for (const ZoneDigest& zone : report.far_zones) {
    digest = report.header;
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
