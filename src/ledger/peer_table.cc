#include "ledger/peer_table.h"

#include <absl/container/btree_set.h>

#include <algorithm>

namespace quincewick::ledger {

PeerTable::PeerTable(const Member& self) : self_(self) {
  PeerState state;
  state.node = self.node;
  state.incarnation = self.incarnation;
  state.zone = self.zone;
  state.reachable = true;
  peers_.emplace(self.node, Peer{state, absl::InfiniteFuture()});
}

void PeerTable::update(const std::vector<PeerState>& peers, absl::Time now) {
  for (auto& [node, peer] : peers_) {
    peer.state.reachable = node == self_.node;
  }
  for (const PeerState& state : peers) {
    if (state.node == self_.node) {
      peers_.at(self_.node).state.leaving = state.leaving;
      continue;
    }
    Peer& peer = peers_[state.node];
    const Incarnation newest = std::max(peer.state.incarnation, state.incarnation);
    peer.state = state;
    peer.state.incarnation = newest;
    if (state.reachable) {
      peer.last_reachable = now;
    }
  }
}

bool PeerTable::isDead(const NodeId& node, Incarnation incarnation) const {
  const auto found = peers_.find(node);
  if (found == peers_.end()) {
    return false;
  }
  const PeerState& state = found->second.state;
  return state.incarnation > incarnation || (state.gone && state.incarnation == incarnation);
}

bool PeerTable::isReachable(const Member& member) const {
  const auto found = peers_.find(member.node);
  return found != peers_.end() && found->second.state.reachable &&
         found->second.state.incarnation == member.incarnation;
}

bool PeerTable::isCandidate(const Peer& peer, absl::Duration grace, absl::Time now) const {
  const PeerState& state = peer.state;
  const bool known = state.incarnation > Incarnation();
  if (state.leaving || state.gone || !known) {
    return false;
  }
  return state.reachable || peer.last_reachable + grace > now;
}

std::vector<Member> chooseMembers(const PeerTable& peers, const View& current, size_t group_size,
                                  absl::Duration grace, absl::Time now) {
  std::vector<Member> staying;
  std::vector<Member> others;
  for (const auto& [node, peer] : peers.peers()) {
    const Member member{node, peer.state.incarnation, peer.state.zone};
    const Member* held = current.find(node);
    const bool stays = held != nullptr && held->incarnation == member.incarnation;
    if (peers.isCandidate(peer, stays ? grace : absl::ZeroDuration(), now)) {
      (stays ? staying : others).push_back(member);
    }
  }
  std::vector<Member> candidates = std::move(staying);
  candidates.insert(candidates.end(), others.begin(), others.end());
  size_t size = std::min(group_size, candidates.size());
  if (size > 0 && size % 2 == 0) {
    --size;
  }
  std::vector<Member> chosen;
  std::vector<Member> spare;
  absl::btree_set<ZoneName> zones;
  for (const Member& candidate : candidates) {
    (zones.insert(candidate.zone).second ? chosen : spare).push_back(candidate);
  }
  chosen.insert(chosen.end(), spare.begin(), spare.end());
  chosen.resize(std::min(chosen.size(), size));
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace quincewick::ledger
