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
  NodeId last;
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
    report.own_loads = splitIntoParts(loads, kLoadsPerDigest);
  }
  void addEngines(size_t count, absl::Time now, uint32_t closed_ms = 3500) {
    for (size_t number = 0; number < count; ++number) {
      updates.addEngine({number + 1, 7, 2, closed_ms}, now);
    }
  }
  // Returns whether updates are left for a further turn.
  bool sendEngineUpdates(absl::Time now) {
    turn.clear();
    return sender.sendEngineUpdates(peers, report.header, last, now);
  }
  void sendReports(absl::Time now) {
    turn.clear();
    for (auto& [id, peer] : peers) {
      sender.sendReport(id, peer, report, now);
    }
  }
};

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

size_t roundedUp(size_t dividend, size_t divisor) {
  return (dividend + divisor - 1) / divisor;
}

// The turns within which all engine updates are offered to all peers (docs/design/peer_updates.md).
size_t turnsFor(size_t peers, size_t engines) {
  return roundedUp(peers * roundedUp(engines, kMinEnginesPerDigest), DigestSender::kMaxEngineDigestsPerTurn);
}

// 64 or 65 loads leave no room for an update in their datagram: a gateway with requests at so many servers
// once hung when new weights were named.
TEST_CASE("an engine update reaches all peers at once, at however many servers the gateway has requests") {
  for (size_t loads = 0; loads <= 200; ++loads) {
    SendingGateway gateway;
    gateway.addPeers(1);
    gateway.setLoads(loads);
    gateway.addEngines(1, kStart);
    REQUIRE_NOTHROW(gateway.sendReports(kStart));
    REQUIRE_NOTHROW(gateway.sendEngineUpdates(kStart));
    INFO(loads);
    CHECK(!gateway.updates.hasEngines(gateway.peers.begin()->second.sent, kStart));
  }
}

// Draws what a gateway tells its peers: any number of loads, stores, updates and keys, with the longest
// names.
struct DrawnGateway : SendingGateway {
  size_t engines = *rc::gen::inRange<size_t>(1, 300);
  size_t capabilities = *rc::gen::inRange<size_t>(0, 600);
  size_t placements = *rc::gen::inRange<size_t>(0, 40);

  DrawnGateway() {
    setLoads(*rc::gen::inRange<size_t>(0, 201));
    report.dead_stores.resize(*rc::gen::inRange<size_t>(0, kMaxDeadStores + 1));
    report.header.zone = std::string(*rc::gen::inRange<size_t>(1, kMaxNameBytes + 1), 'z');
    addEngines(engines, kStart);
    for (size_t number = 0; number < capabilities; ++number) {
      updates.addCapability({number + 1, {31'000, 5, 1}}, UpdateOrigin::kOwn);
    }
    for (size_t number = 0; number < placements; ++number) {
      std::vector<BlockKey> keys(*rc::gen::inRange<size_t>(1, 200));
      updates.addPlacement({number + 1, std::move(keys)}, UpdateOrigin::kOwn);
    }
  }
};

TEST_CASE("each turn ends within its bound, and offers every engine update to every peer in time") {
  CHECK(rc::check([] {
    DrawnGateway gateway;
    gateway.addPeers(*rc::gen::inRange<size_t>(1, 1000));
    std::map<NodeId, std::set<uint64_t>> offered;
    size_t turns = 0;
    bool is_left = true;
    while (is_left) {
      is_left = gateway.sendEngineUpdates(kStart);
      ++turns;
      RC_ASSERT(gateway.turn.size() <= DigestSender::kMaxEngineDigestsPerTurn);
      for (const Sent& sent : gateway.turn) {
        RC_ASSERT(!sent.digest.engines.empty());
        for (const EngineDigest& engine : sent.digest.engines) {
          offered[sent.to].insert(engine.server);
        }
      }
      RC_ASSERT(turns <= turnsFor(gateway.peers.size(), gateway.engines));
    }
    RC_ASSERT(offered.size() == gateway.peers.size());
    for (const auto& [id, engines] : offered) {
      RC_ASSERT(engines.size() == gateway.engines);
    }
    RC_ASSERT(gateway.largest_datagram <= peer::kMaximumDatagramPayload);
  }));
}

TEST_CASE("reports to a peer fit into datagrams, end within their bound and starve no kind of update") {
  CHECK(rc::check([] {
    DrawnGateway gateway;
    gateway.addPeers(1);
    const size_t load_parts = gateway.report.own_loads.size();
    std::set<uint64_t> engines;
    std::set<uint64_t> capabilities;
    size_t keys = 0;
    // Of each kind that is left at least one update goes with each datagram without loads.
    const size_t expected_capabilities = std::min<size_t>(gateway.capabilities, 512);
    const size_t most_reports = gateway.engines + expected_capabilities + 4 * gateway.placements + 1;
    size_t reports = 0;
    while (gateway.updates.hasAny(gateway.peers.begin()->second.sent, gateway.subscription.origins, kStart)) {
      gateway.sendReports(kStart);
      RC_ASSERT(++reports <= most_reports);
      RC_ASSERT(gateway.turn.size() <= load_parts + DigestSender::kMaxUpdateDigestsPerReport);
      size_t loads = 0;
      for (const Sent& sent : gateway.turn) {
        loads += sent.digest.load ? sent.digest.load->loads.size() : 0;
        RC_ASSERT(!sent.digest.has_updates ||
                  sent.digest.dead_stores.size() == gateway.report.dead_stores.size());
        for (const EngineDigest& engine : sent.digest.engines) {
          engines.insert(engine.server);
        }
        for (const CapabilityDigest& capability : sent.digest.capabilities) {
          capabilities.insert(capability.server);
        }
        for (const PlacementDigest& placement : sent.digest.placements) {
          keys += placement.keys.size();
        }
      }
      RC_ASSERT(loads ==
                std::accumulate(gateway.report.own_loads.begin(), gateway.report.own_loads.end(), size_t{0},
                                [](size_t sum, const LoadPart& part) { return sum + part.loads.size(); }));
    }
    RC_ASSERT(engines.size() == gateway.engines);
    RC_ASSERT(capabilities.size() == expected_capabilities);
    RC_ASSERT(gateway.largest_datagram <= peer::kMaximumDatagramPayload);
  }));
}

// Capabilities once waited for room beside the loads, which 64 or 65 loads never leave.
TEST_CASE("a report says which cache stores are unreachable, however many loads go with it") {
  for (size_t loads = 0; loads <= 200; ++loads) {
    SendingGateway gateway;
    gateway.addPeers(1);
    gateway.setLoads(loads);
    gateway.report.dead_stores = std::vector<uint64_t>(kMaxDeadStores, 9);
    gateway.updates.addCapability({5, {31'000, 5, 1}}, UpdateOrigin::kOwn);
    gateway.sendReports(kStart);
    INFO(loads);
    CHECK(gateway.largest_datagram <= peer::kMaximumDatagramPayload);
    CHECK(std::any_of(gateway.turn.begin(), gateway.turn.end(), [](const Sent& sent) {
      return sent.digest.has_updates && sent.digest.dead_stores.size() == kMaxDeadStores;
    }));
    CHECK(std::any_of(gateway.turn.begin(), gateway.turn.end(),
                      [](const Sent& sent) { return !sent.digest.capabilities.empty(); }));
  }
}

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

// A prompt of very many parts once kept every placement behind it waiting.
TEST_CASE("a placement of more keys than a datagram holds is sent in parts, with all its keys") {
  SendingGateway gateway;
  gateway.addPeers(1);
  std::vector<BlockKey> keys(500);
  for (size_t index = 0; index < keys.size(); ++index) {
    keys[index].low = index;
  }
  gateway.updates.addPlacement({1, keys}, UpdateOrigin::kOwn);
  gateway.updates.addPlacement({2, {{3, 4}}}, UpdateOrigin::kOwn);
  std::vector<BlockKey> received;
  bool has_second = false;
  for (int report = 0; report < 8; ++report) {
    gateway.sendReports(kStart);
    for (const Sent& sent : gateway.turn) {
      for (const PlacementDigest& placement : sent.digest.placements) {
        has_second = has_second || placement.server == 2;
        if (placement.server == 1) {
          received.insert(received.end(), placement.keys.begin(), placement.keys.end());
        }
      }
    }
  }
  CHECK(received == keys);
  CHECK(has_second);
  CHECK(gateway.largest_datagram <= peer::kMaximumDatagramPayload);
}

TEST_CASE("the size of a digest is known without encoding it") {
  CHECK(rc::check([] {
    DrawnGateway gateway;
    gateway.addPeers(1);
    gateway.sendReports(kStart);
    for (const Sent& sent : gateway.turn) {
      RC_ASSERT(encodedSize(sent.digest) == encodeDigest(sent.digest).size());
    }
    PeerDigest zones = gateway.report.header;
    zones.zones.push_back({gateway.report.header.zone, gateway.report.own_loads.front()});
    RC_ASSERT(encodedSize(zones) == encodeDigest(zones).size());
    RC_ASSERT(encodedSize(zones) <= peer::kMaximumDatagramPayload);
  }));
}

}  // namespace
}  // namespace quincewick::gateway
