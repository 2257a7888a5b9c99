#include "gateway/digest_sender.h"

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

void DigestSender::sendEngineUpdates(absl::btree_map<NodeId, Peer>& peers, const PeerReport& report,
                                     absl::Time now) const {
  for (auto& [id, peer] : peers) {
    while (updates_.hasEngines(peer.sent)) {
      sendReport(id, peer, report, now);
    }
  }
}

}  // namespace quincewick::gateway
