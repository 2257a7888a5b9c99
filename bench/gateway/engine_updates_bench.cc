// What it costs a gateway to tell its peers of engines that load weights: datagrams, bytes and the processor
// time of one turn, sealed but not handed to the system. Usage: engine_updates_bench
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>

#include "gateway/digest_sender.h"
#include "peer/authenticator.h"

namespace quincewick::gateway {
namespace {

struct Cost {
  size_t datagrams = 0;
  size_t bytes = 0;
  size_t turns = 0;
  double longest_turn_ms = 0;
  double all_turns_ms = 0;
};

Cost measure(size_t engines, size_t peers_known) {
  const peer::KeyId key(1);
  auto ring = peer::KeyRing::make({{key, std::string(peer::kMinimumSecretSize, 'k')}}, key);
  peer::Authenticator authenticator(NodeId("front-0"), Incarnation(1), std::move(ring.value()));
  Cost cost;
  PeerUpdates updates;
  const DigestSender sender(
      updates, [](const Peer&) { return PeerSubscription(); },
      [&](const NodeId& to, const Peer&, const PeerDigest& digest) {
        const auto sealed = authenticator.seal(peer::Channel::kDatagram, to, peer::PeerModule::kRouting,
                                               encodeDigest(digest));
        ++cost.datagrams;
        cost.bytes += sealed.bytes.size();
      });
  DigestSender::Peers peers;
  for (size_t number = 0; number < peers_known; ++number) {
    peers[NodeId("front-" + std::to_string(number + 1))];
  }
  const absl::Time now = absl::UnixEpoch();
  for (size_t number = 0; number < engines; ++number) {
    updates.addEngine({number + 1, 7, 2, 3500}, now);
  }
  PeerDigest header;
  header.address = {"10.200.100.100", 7340};
  header.zone = "hall-a";
  NodeId last;
  bool is_left = true;
  while (is_left) {
    const auto begin = std::chrono::steady_clock::now();
    is_left = sender.sendEngineUpdates(peers, header, last, now);
    const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - begin;
    cost.longest_turn_ms = std::max(cost.longest_turn_ms, taken.count());
    cost.all_turns_ms += taken.count();
    ++cost.turns;
  }
  return cost;
}

}  // namespace
}  // namespace quincewick::gateway

int main() {
  std::printf("%8s %8s %10s %10s %7s %16s %14s\n", "engines", "peers", "datagrams", "MB", "turns",
              "longest turn ms", "all turns ms");
  constexpr double bytes_per_mb = 1e6;
  for (const size_t peers : {6U, 78U, 984U}) {
    for (const size_t engines : {1U, 65U, 1000U, 12000U}) {
      const quincewick::gateway::Cost cost = quincewick::gateway::measure(engines, peers);
      std::printf("%8zu %8zu %10zu %10.2f %7zu %16.2f %14.1f\n", engines, peers, cost.datagrams,
                  static_cast<double>(cost.bytes) / bytes_per_mb, cost.turns, cost.longest_turn_ms,
                  cost.all_turns_ms);
    }
  }
  return 0;
}
