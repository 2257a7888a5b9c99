// Guards what a gateway tells its peers: which updates, in datagrams of which size, and how many in one turn.
#include "gateway/digest_sender.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include "peer/envelope.h"

namespace quincewick::gateway {
namespace {

constexpr size_t kLoadsPerDatagram = 65;  // of the peer exchange
constexpr size_t kMaxNameBytes = 63;

// Thrown where a turn sends more than any turn may, so that a test of a turn without end ends.
struct TooManyDatagrams {};

struct Sent {
  NodeId to;
  PeerDigest digest;
};

// A gateway's sending side and the peers that it knows.
struct SendingGateway {
  PeerUpdates updates;
  absl::btree_map<NodeId, Peer> peers;
  PeerSubscription subscription;
  PeerReport report;
  std::vector<Sent> turn;
  size_t largest_datagram = 0;
  DigestSender sender{updates, [this](const Peer&) { return subscription; },
                      [this](const NodeId& to, const Peer&, const PeerDigest& digest) {
                        largest_datagram = std::max(largest_datagram, encodeDigest(digest).size());
                        turn.push_back({to, digest});
                        if (turn.size() > 100'000) {
                          throw TooManyDatagrams();
                        }
                      }};

  SendingGateway() {
    subscription.own_loads = true;
    subscription.dead_stores = true;
    subscription.origins = {true, true, true};
    report.header.address = {"10.200.100.100", 65535};
    report.header.zone = "hall-a";
    setLoads(0);
  }
  void addPeers(size_t count) {
    for (size_t number = 0; number < count; ++number) {
      peers[NodeId("front-" + std::to_string(number))];
    }
  }
  void setLoads(size_t count) {
    std::vector<LoadDigest> loads(count);
    for (size_t index = 0; index < count; ++index) {
      loads[index] = {0x9e3779b97f4a7c15 * (index + 1), 3, 500};
    }
    report.own_loads = splitIntoParts(loads, kLoadsPerDatagram);
  }
  void addEngines(size_t count, absl::Time now, uint32_t closed_ms = 3500) {
    for (size_t number = 0; number < count; ++number) {
      updates.addEngine({number + 1, 7, 2, closed_ms}, now);
    }
  }
  void sendReports(absl::Time now) {
    turn.clear();
    for (auto& [id, peer] : peers) {
      sender.sendReport(id, peer, report, now);
    }
  }
};

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

// An engine that was open again was once told to be closed for 49 days: the time left of an update that is no
// longer valid is negative.
TEST_CASE("an engine update is sent twice while it is valid, and never afterwards") {
  CHECK(rc::check([] {
    SendingGateway gateway;
    gateway.addPeers(3);
    const auto closed_ms = *rc::gen::inRange<uint32_t>(0, 5000);
    gateway.addEngines(*rc::gen::inRange<size_t>(1, 100), kStart, closed_ms);
    const absl::Duration validity = std::max(absl::Milliseconds(closed_ms), absl::Milliseconds(1500));
    std::map<std::pair<NodeId, uint64_t>, int> times;
    absl::Time now = kStart;
    while (now < kStart + absl::Seconds(6)) {
      if (*rc::gen::arbitrary<bool>()) {
        gateway.updates.refreshEngines(now);
      }
      gateway.turn.clear();
      if (*rc::gen::weightedElement<bool>({{1, true}, {3, false}})) {
        gateway.sendReports(now);  // also between two refreshes
      }
      for (const Sent& sent : gateway.turn) {
        for (const EngineDigest& engine : sent.digest.engines) {
          RC_ASSERT(now < kStart + validity);
          RC_ASSERT(engine.closed_ms <= closed_ms);
          ++times[{sent.to, engine.server}];
        }
      }
      now += absl::Milliseconds(*rc::gen::inRange(1, 1500));
    }
    for (const auto& [key, count] : times) {
      RC_ASSERT(count <= 2);
    }
  }));
}

}  // namespace
}  // namespace quincewick::gateway
