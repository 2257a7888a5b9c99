#include "gateway/retired_peers.h"

#include <utility>

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kSilence = absl::Minutes(1);

}  // namespace

void RetiredPeers::noteRows(absl::flat_hash_set<NodeId> listed) {
  for (const NodeId& peer : listed_) {
    if (!listed.contains(peer)) {
      removed_.insert(peer);
    }
  }
  for (const NodeId& peer : listed) {
    removed_.erase(peer);
  }
  listed_ = std::move(listed);
}

bool RetiredPeers::isRetired(const NodeId& peer, absl::Time last_received, absl::Time now) const {
  return removed_.contains(peer) && now - last_received >= kSilence;
}

}  // namespace quincewick::gateway
