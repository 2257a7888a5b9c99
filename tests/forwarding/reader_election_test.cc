#include "forwarding/reader_election.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace quincewick::forwarding {
namespace {

// Simulation of a zone on virtual time: the readers, the nodes that the store responds to, and what each
// node knows of the others.
struct Zone {
  struct Node {
    NodeId id;
    double capacity = 0;
    ReaderElection election;
    bool is_alive = true;
    bool store_answers = true;
  };
  std::vector<Node> nodes;
  absl::Time now = absl::UnixEpoch();

  explicit Zone(size_t count) {
    for (size_t index = 0; index < count; ++index) {
      const NodeId id("n" + std::to_string(100 + index));
      const double capacity = index % 5 == 3 ? 200 : 10;
      nodes.push_back({id, capacity, ReaderElection(id, capacity)});
    }
  }

  static bool readsWell(const Node& node) {
    return node.is_alive && node.store_answers && node.election.role().reads;
  }

  void step() {
    now += absl::Milliseconds(100);
    std::vector<ReaderCandidate> heard;
    for (const Node& node : nodes) {
      if (node.is_alive) {
        heard.push_back({node.id, node.capacity, readsWell(node)});
      }
    }
    for (Node& node : nodes) {
      if (!node.is_alive) {
        continue;
      }
      std::vector<ReaderCandidate> others;
      std::copy_if(heard.begin(), heard.end(), std::back_inserter(others),
                   [&node](const ReaderCandidate& peer) { return peer.id != node.id; });
      const auto follows = node.election.role().follows;
      const bool lost = follows && std::none_of(heard.begin(), heard.end(), [&](const ReaderCandidate& peer) {
                          return peer.id == *follows && peer.is_zone_reader;
                        });
      if (lost) {
        node.election.noteFailed(*follows, now);
      }
      node.election.decide(others, node.store_answers, now);
    }
  }
  void run(absl::Duration time) {
    const absl::Time end = now + time;
    while (now < end) {
      step();
    }
  }
  size_t readers() const { return static_cast<size_t>(std::count_if(nodes.begin(), nodes.end(), readsWell)); }
};

TEST_CASE("a zone converges to one reader, the gateway of greatest capacity that the store responds to") {
  CHECK(rc::check([] {
    Zone zone(*rc::gen::inRange<size_t>(1, 30));
    for (int round = 0; round < 6; ++round) {
      for (Zone::Node& node : zone.nodes) {
        const int action = *rc::gen::inRange(0, 10);
        const bool was_alive = std::exchange(node.is_alive, action > 1);
        if (!was_alive && node.is_alive) {
          node.election = ReaderElection(node.id, node.capacity);
        }
        node.store_answers = action != 2;
      }
      zone.run(absl::Seconds(8));
      const bool can_any_read = std::any_of(zone.nodes.begin(), zone.nodes.end(), [](const Zone::Node& node) {
        return node.is_alive && node.store_answers;
      });
      RC_ASSERT(zone.readers() == (can_any_read ? 1 : 0));
      for (const Zone::Node& node : zone.nodes) {
        const bool is_served = !node.is_alive || !can_any_read || Zone::readsWell(node) ||
                               node.election.role().follows.has_value();
        RC_ASSERT(is_served);
      }
    }
  }));
}

TEST_CASE("a stopped reader is replaced within a few turns") {
  Zone zone(26);
  zone.run(absl::Seconds(5));
  REQUIRE(zone.readers() == 1);
  const auto reader = std::find_if(zone.nodes.begin(), zone.nodes.end(), Zone::readsWell);
  CHECK(reader->capacity == 200);
  reader->is_alive = false;
  zone.run(absl::Milliseconds(300));
  CHECK(zone.readers() == 1);
}

TEST_CASE("a new gateway follows the existing reader and does not read the store") {
  ReaderElection election(NodeId("b"), 10);
  const ReaderRole role = election.decide({{NodeId("a"), 10, true}}, true, absl::UnixEpoch());
  CHECK_FALSE(role.reads);
  CHECK(role.follows == NodeId("a"));
}

// Guards against a burst of calls in a store outage: 48 of 58 gateways began to read at once, 2 s after its
// start.
TEST_CASE("while the store is down for all, few gateways of a zone call it") {
  constexpr size_t kGateways = 58;
  Zone zone(kGateways);
  zone.run(absl::Seconds(5));
  REQUIRE(zone.readers() == 1);
  const auto asking = [&zone] {
    return std::count_if(zone.nodes.begin(), zone.nodes.end(),
                         [](const Zone::Node& node) { return node.election.role().reads; });
  };
  for (Zone::Node& node : zone.nodes) {
    node.store_answers = false;
  }
  zone.run(absl::Seconds(1));
  CHECK(asking() <= 5);
  zone.run(absl::Seconds(4));
  CHECK(asking() <= 13);
  for (Zone::Node& node : zone.nodes) {
    node.store_answers = true;
  }
  zone.run(absl::Seconds(2));
  CHECK(asking() == 1);
}

TEST_CASE("if all gateways of a zone start together, only the one of greatest capacity reads, at once") {
  constexpr size_t kGateways = 300;
  Zone zone(kGateways);
  zone.step();
  const auto reader = std::find_if(zone.nodes.begin(), zone.nodes.end(), Zone::readsWell);
  REQUIRE(reader != zone.nodes.end());
  CHECK(zone.readers() == 1);
  CHECK(reader->capacity == 200);
  zone.step();
  CHECK(zone.readers() == 1);
  CHECK(std::all_of(zone.nodes.begin(), zone.nodes.end(), [&reader](const Zone::Node& node) {
    return node.id == reader->id || node.election.role().follows == reader->id;
  }));
}

TEST_CASE("a gateway without peers reads the store at once") {
  ReaderElection election(NodeId("n"), 10);
  CHECK(election.decide({}, true, absl::UnixEpoch()).reads);
}

TEST_CASE("a reader without responses from the store follows one that gets them") {
  ReaderElection election(NodeId("a"), 10);
  REQUIRE(election.decide({}, true, absl::UnixEpoch()).reads);
  const std::vector<ReaderCandidate> worse = {{NodeId("b"), 10, true}};
  CHECK(election.decide(worse, true, absl::UnixEpoch()).reads);
  const ReaderRole role = election.decide(worse, false, absl::UnixEpoch() + absl::Seconds(2));
  CHECK_FALSE(role.reads);
  CHECK(role.follows == NodeId("b"));
}

// Guards against followers that abandon each new reader before its first response can arrive and then
// distrust it, when the previous reader stopped during a store outage.
// Guards against lists older than their bound at a gateway that outlived the others of its zone: it didn't
// follow the reader that had just been started again, and its own turn to read was late.
TEST_CASE("a reader that failed is followed at once when it was started again") {
  ReaderElection election(NodeId("n9"), 10);
  std::vector<ReaderCandidate> peers;
  for (const char* const id : {"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"}) {
    peers.push_back({NodeId(id), 10, false});
  }
  std::vector<ReaderCandidate> with_reader = peers;
  with_reader.front().is_zone_reader = true;
  const NodeId reader("n1");
  absl::Time now = absl::UnixEpoch();
  const auto decideAfter = [&](absl::Duration time, const std::vector<ReaderCandidate>& live) {
    now += time;
    return election.decide(live, true, now);
  };
  REQUIRE(decideAfter(absl::ZeroDuration(), with_reader).follows == reader);
  SECTION("its failure is noticed later") {
    decideAfter(absl::Seconds(1), peers);
    election.noteFailed(reader, now);
    CHECK(decideAfter(absl::Milliseconds(100), with_reader).follows == reader);
  }
  SECTION("its failure is noticed earlier") {
    election.noteFailed(reader, now);
    decideAfter(absl::Seconds(1), peers);
    CHECK(decideAfter(absl::Milliseconds(100), with_reader).follows == reader);
  }
  SECTION("it wasn't started again") {
    election.noteFailed(reader, now);
    CHECK_FALSE(decideAfter(absl::Milliseconds(100), with_reader).follows);
  }
}

// Guards against lists older than their bound at a gateway that outlives its zone: its turn to read comes
// after those of all peers that are live, though these have just started and don't read yet.
TEST_CASE("a gateway that outlives the others of its zone has a reader within half of the drain bound") {
  constexpr absl::Duration drain_bound = absl::Seconds(3);
  constexpr absl::Duration start_time = absl::Seconds(3);  // until a gateway that starts may read
  Zone zone(13);
  zone.run(absl::Seconds(10));
  Zone::Node& survivor = zone.nodes.back();
  // The others are back before their silence is noticed.
  for (Zone::Node& node : zone.nodes) {
    if (node.id != survivor.id) {
      node.store_answers = false;
      node.election = ReaderElection(node.id, node.capacity);
    }
  }
  const absl::Time failed = zone.now;
  while (!survivor.election.role().reads && !zone.readers() && zone.now - failed < start_time) {
    zone.step();
  }
  CHECK(zone.now - failed <= drain_bound / 2);
}

TEST_CASE("rows that were stale before a reader was followed do not count against it") {
  const absl::Time start = absl::UnixEpoch();
  const absl::Time confirmed = start - absl::Seconds(10);
  ReaderElection election(NodeId("b"), 10);
  const std::vector<ReaderCandidate> reader = {{NodeId("a"), 200, true}};
  REQUIRE(election.decide({}, true, start).reads);
  election.decide(reader, true, start);
  const absl::Time follows_since = start + absl::Milliseconds(700);
  REQUIRE(election.decide(reader, true, follows_since).follows == NodeId("a"));
  const absl::Duration oldest = ReaderElection::maxConfigurationAge(absl::Seconds(5));
  CHECK_FALSE(election.followsStaleReader(confirmed, oldest, follows_since));
  CHECK_FALSE(election.followsStaleReader(confirmed, oldest, follows_since + absl::Milliseconds(200)));
  CHECK(election.followsStaleReader(confirmed, oldest, follows_since + absl::Seconds(1)));
  CHECK_FALSE(election.followsStaleReader(follows_since, oldest, follows_since + absl::Seconds(1)));
}

}  // namespace
}  // namespace quincewick::forwarding
