#include "configuration/peer_directory.h"

#include <absl/random/distributions.h>
#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace quincewick::configuration {
namespace {

constexpr XXH64_hash_t kRankSeed = 0x636f6e666967;  // so that other roles fall to other nodes

struct RankedNode {
  uint64_t weight = 0;
  NodeId id;

  friend bool operator<(const RankedNode& left, const RankedNode& right) {
    return std::tie(left.weight, left.id) < std::tie(right.weight, right.id);
  }
};

RankedNode rankNode(const NodeId& id) {
  return {XXH64(id.value().data(), id.value().size(), kRankSeed), id};
}

}  // namespace

void PeerDirectory::setPeers(const std::vector<PeerNode>& peers) {
  absl::btree_map<ZoneName, std::vector<RankedNode>> zones;
  peers_.clear();
  for (const PeerNode& peer : peers) {
    if (peer.id != self_) {
      peers_.push_back(peer);
      zones[peer.zone].push_back(rankNode(peer.id));
    }
  }
  zone_peers_.clear();
  remote_peers_.clear();
  remote_relays_.clear();
  rank_ = 0;
  const RankedNode own = rankNode(self_);
  for (auto& [zone, nodes] : zones) {
    std::sort(nodes.begin(), nodes.end(),
              [](const RankedNode& left, const RankedNode& right) { return right < left; });
    std::vector<NodeId>& list = zone == zone_ ? zone_peers_ : remote_peers_;
    for (const RankedNode& node : nodes) {
      list.push_back(node.id);
      rank_ += zone == zone_ && own < node ? 1 : 0;
    }
    if (zone != zone_) {
      remote_relays_.push_back(nodes.front().id);
    }
  }
}

std::vector<NodeId> PeerDirectory::sample(const std::vector<NodeId>& nodes, size_t count,
                                          absl::BitGenRef random) {
  std::vector<NodeId> rest = nodes;
  count = std::min(count, rest.size());
  for (size_t index = 0; index < count; ++index) {
    std::swap(rest[index], rest[absl::Uniform(random, index, rest.size())]);
  }
  rest.resize(count);
  return rest;
}

}  // namespace quincewick::configuration
