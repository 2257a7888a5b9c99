// The incident: requests reached servers up to 2.8 s after these had left, where 2 s are allowed.
//
// Seen: always by one gateway of a zone, while the zone's reader of the store changed: it was stopped, came
// back, or the store turned it away. How it came about: a reader that has just begun looked at the list once
// and then not for 2.2 s; a gateway that had no newer confirmation for as long took that for an outage of
// the store, and went on with a server whose entry was gone; and followers of a reader without answers
// waited until that one noticed, 2.3 s later. Cause: nobody knew, or bounded, how old the list is that a
// gateway goes by. Proof: with the age of the list on each log line the three were told apart, and each is
// a scenario here, on virtual time, which failed before the age was bounded.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "forwarding/lapsed_entries.h"
#include "forwarding/reader_election.h"
#include "forwarding/reading_pace.h"

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kTick = absl::Milliseconds(100);
constexpr absl::Duration kSilentCall =
    absl::Milliseconds(1500);                        // until a call without an answer is given up
constexpr absl::Duration kBound = absl::Seconds(2);  // for leaving servers
// Of the bound: for the request's own way to its server, a new connection included.
constexpr absl::Duration kWay = absl::Milliseconds(300);
// Disturbed so lately, a gateway is not bound yet.
constexpr absl::Duration kInTouchAfter = absl::Seconds(3);

ReadingPaceSettings operatorPace() {
  return {absl::Seconds(10), absl::ZeroDuration(), absl::Seconds(1)};
}

ReadingPaceSettings serverPace() {
  return {kBound / 16, kBound / 4, absl::Seconds(6)};
}

// One question that is asked again and again, and whether the store answers it.
struct Asking {
  absl::Time next = absl::InfiniteFuture();
  absl::Time gives_up = absl::InfiniteFuture();  // on a question without an answer
};

// A gateway as it follows the list: by itself, or through the peer that reads for the zone.
struct Gateway {
  NodeId id;
  ReaderElection election;
  bool is_alive = true;
  bool store_answers = true;
  absl::Time disturbed = absl::InfinitePast();
  ReaderRole role;
  // As a reader.
  ReadingPace operator_pace{operatorPace()};
  ReadingPace server_pace{serverPace()};
  Asking operator_rows;
  Asking servers;
  Asking changes;
  bool is_down = false;
  absl::Time own_confirmed = absl::InfinitePast();
  absl::Time own_as_of = absl::InfinitePast();
  // As anyone.
  LapsedEntries lapsed;
  absl::Time confirmed = absl::InfinitePast();
  absl::Time as_of = absl::InfinitePast();
  absl::Time dropped = absl::InfiniteFuture();  // the server that leaves

  explicit Gateway(const std::string& name) : id(name), election(NodeId(name), 10) {}

  bool readsWell(absl::Time now) const {
    const bool is_list_fresh = now - own_as_of <= ReaderElection::oldestList(kBound);
    return is_alive && role.reads && !is_down && is_list_fresh &&
           now - own_confirmed < ReaderElection::kOldestReading;
  }
};

class Zone {
 public:
  explicit Zone(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      gateways.emplace_back(name);
    }
  }

  std::vector<Gateway> gateways;
  absl::Time now = absl::UnixEpoch();
  absl::Time leaves = absl::InfiniteFuture();
  bool leaves_without_word = false;

  void run(absl::Duration time) {
    for (const absl::Time end = now + time; now < end; now += kStep) {
      step();
    }
  }

  Gateway& reader() {
    const auto found = std::find_if(gateways.begin(), gateways.end(),
                                    [this](const Gateway& gateway) { return gateway.readsWell(now); });
    REQUIRE(found != gateways.end());
    return *found;
  }

  void start(Gateway& gateway) {
    gateway = Gateway(gateway.id.value());
    gateway.disturbed = now;
  }
  void stop(Gateway& gateway) {
    gateway.is_alive = false;
    gateway.disturbed = now;
  }
  void turnAway(Gateway& gateway) {
    gateway.store_answers = false;
    gateway.disturbed = now;
  }

  // Whether all that were in touch all the while dropped the server in time.
  bool isDroppedInTime() const {
    return std::all_of(gateways.begin(), gateways.end(), [this](const Gateway& gateway) {
      const bool is_bound =
          gateway.is_alive && gateway.store_answers && gateway.disturbed < leaves + kBound - kInTouchAfter;
      return !is_bound || gateway.dropped <= leaves + kBound - kWay;
    });
  }

 private:
  void step() {
    for (Gateway& gateway : gateways) {
      if (gateway.is_alive && gateway.role.reads) {
        read(gateway);
      }
    }
    for (Gateway& gateway : gateways) {
      if (gateway.is_alive) {
        learn(gateway);
        drop(gateway);
      }
    }
    if ((now - absl::UnixEpoch()) % kTick == absl::ZeroDuration()) {
      for (Gateway& gateway : gateways) {
        if (gateway.is_alive) {
          tick(gateway);
        }
      }
    }
  }

  // Asks what is due; returns whether an answer came. `failed`: a question was given up.
  bool ask(const Gateway& gateway, Asking& asking, bool& failed) const {
    failed = now >= asking.gives_up;
    if (failed) {
      asking.gives_up = absl::InfiniteFuture();
      return false;
    }
    if (now < asking.next) {
      return false;
    }
    asking.next = absl::InfiniteFuture();
    if (!gateway.store_answers) {
      asking.gives_up = now + kSilentCall;
    }
    return gateway.store_answers;
  }

  void read(Gateway& gateway) {
    bool failed = false;
    if (ask(gateway, gateway.operator_rows, failed)) {
      gateway.own_confirmed = now;
      gateway.is_down = false;
      gateway.operator_rows.next = now + gateway.operator_pace.afterWhole(random_);
    } else if (failed) {
      gateway.is_down = true;
      gateway.operator_rows.next = now + gateway.operator_pace.afterFailedWhole(random_);
    }
    if (ask(gateway, gateway.servers, failed)) {
      const bool is_first = gateway.own_as_of == absl::InfinitePast();
      gateway.own_as_of = now;
      gateway.servers.next = now + gateway.server_pace.afterWhole(random_);
      if (is_first) {
        gateway.changes.next = now + gateway.server_pace.afterChanges();
      }
    } else if (failed) {
      gateway.servers.next = now + gateway.server_pace.afterFailedWhole(random_);
    }
    if (ask(gateway, gateway.changes, failed)) {
      gateway.own_as_of = now;
      gateway.changes.next = now + gateway.server_pace.afterChanges();
    } else if (failed) {
      gateway.changes.next = now + gateway.server_pace.afterFailedChanges();
    }
  }

  const Gateway* sourceOf(const Gateway& gateway) const {
    if (gateway.role.reads) {
      return &gateway;
    }
    const auto found = std::find_if(gateways.begin(), gateways.end(), [&](const Gateway& other) {
      return gateway.role.follows == other.id && other.is_alive && other.role.reads;
    });
    return found == gateways.end() ? nullptr : &*found;
  }

  void learn(Gateway& gateway) {
    const Gateway* const source = sourceOf(gateway);
    if (source == nullptr) {
      return;
    }
    if (source->own_confirmed > gateway.confirmed) {
      gateway.confirmed = source->own_confirmed;
    }
    if (source->own_as_of > gateway.as_of) {
      gateway.as_of = source->own_as_of;
      gateway.lapsed.noteReading(now);
    }
  }

  void drop(Gateway& gateway) const {
    const bool is_told = gateway.as_of >= leaves;
    const bool is_awaited = leaves_without_word && gateway.lapsed.mayComeBack(now);
    if (is_told && !is_awaited) {
      gateway.dropped = std::min(gateway.dropped, now);
    }
  }

  void tick(Gateway& gateway) {
    const absl::Duration oldest_list = ReaderElection::oldestList(kBound);
    const bool is_outdated =
        gateway.election.followsOutdated(gateway.confirmed, ReaderElection::kOldestReading, now) ||
        gateway.election.followsOutdated(gateway.as_of, oldest_list, now);
    if (is_outdated) {
      gateway.election.noteOutdated(*gateway.role.follows, now);
    }
    std::vector<ReaderCandidate> live;
    for (const Gateway& other : gateways) {
      if (other.is_alive && other.id != gateway.id) {
        live.push_back({other.id, 10, other.readsWell(now)});
      }
    }
    const bool was_reading = gateway.role.reads;
    const bool answers = !gateway.is_down && now - gateway.own_as_of <= oldest_list;
    gateway.role = gateway.election.decide(live, answers, now);
    const bool hears_any = !live.empty();
    if (now - gateway.as_of > oldest_list && !gateway.election.hearsReader() && hears_any) {
      gateway.lapsed.noteAway();
    }
    if (gateway.role.reads && !was_reading) {
      gateway.operator_pace.restart();
      gateway.server_pace.restart();
      gateway.operator_rows = {now, absl::InfiniteFuture()};
      gateway.servers = {now, absl::InfiniteFuture()};
      gateway.changes = {};
      gateway.own_as_of = absl::InfinitePast();
    } else if (!gateway.role.reads) {
      gateway.is_down = false;
    }
  }

  std::minstd_rand random_;
};

constexpr int kCalmMs = 8000;

absl::Duration drawn(int least_ms, int most_ms) {
  return absl::Milliseconds(10 * *rc::gen::inRange(least_ms / 10, most_ms / 10));
}

TEST_CASE("a server that leaves is known while a better reader comes back") {
  CHECK(rc::check([] {
    Zone zone({"a", "b", "c"});
    zone.stop(zone.gateways[0]);
    zone.run(absl::Milliseconds(kCalmMs) + drawn(0, 3000));
    zone.start(zone.gateways[0]);
    zone.leaves_without_word = *rc::gen::arbitrary<bool>();
    zone.leaves = zone.now + drawn(0, 5000);
    zone.run(absl::Seconds(9));
    RC_ASSERT(zone.isDroppedInTime());
  }));
}

TEST_CASE("a server that leaves is known when the zone's reader stops") {
  CHECK(rc::check([] {
    Zone zone({"a", "b", "c"});
    zone.run(absl::Milliseconds(kCalmMs) + drawn(0, 3000));
    zone.leaves_without_word = *rc::gen::arbitrary<bool>();
    zone.leaves = zone.now + drawn(0, 4000);
    zone.stop(zone.reader());
    zone.run(absl::Seconds(9));
    RC_ASSERT(zone.isDroppedInTime());
  }));
}

TEST_CASE("a server that leaves is known when the store turns the zone's reader away") {
  CHECK(rc::check([] {
    Zone zone({"a", "b", "c", "d"});
    zone.run(absl::Milliseconds(kCalmMs) + drawn(0, 3000));
    zone.leaves_without_word = *rc::gen::arbitrary<bool>();
    zone.leaves = zone.now + drawn(0, 4000);
    if (*rc::gen::arbitrary<bool>()) {
      zone.run(drawn(0, 1000));
    }
    zone.turnAway(zone.reader());
    zone.run(absl::Seconds(9));
    RC_ASSERT(zone.isDroppedInTime());
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
