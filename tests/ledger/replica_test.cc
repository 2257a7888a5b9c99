#include "ledger/replica.h"

#include <catch2/catch.hpp>

namespace quincewick::ledger {
namespace {

const Member kA{NodeId("a"), Incarnation(1), ZoneName("hall-a")};
const Member kB{NodeId("b"), Incarnation(1), ZoneName("hall-b")};
const Member kC{NodeId("c"), Incarnation(1), ZoneName("hall-c")};
const Member kD{NodeId("d"), Incarnation(1), ZoneName("hall-a")};

// Member D joins a view whose predecessor has A, B and C.
struct Joining {
  Joining() {
    record.view = View{Epoch(2), {kA, kB, kD}};
    record.predecessors = {View{Epoch(1), {kA, kB, kC}}};
    replica.adopt(record, peers, now, out);
  }

  void reply(const Member& from, bool holds_predecessors = true) {
    TakeoverReply reply;
    reply.new_epoch = Epoch(2);
    reply.view = Epoch(1);
    reply.incarnation = from.incarnation;
    reply.holds_predecessors = holds_predecessors;
    reply.last = true;
    replica.on(from.node, reply, peers, now, out);
  }
  void wait(absl::Duration time) {
    const absl::Time end = now + time;
    for (; now < end; now += absl::Milliseconds(50)) {
      replica.tick(peers, now, out);
    }
  }
  void newLifeOf(const Member& member) {
    PeerState state;
    state.node = member.node;
    state.incarnation = member.incarnation.next();
    state.reachable = true;
    peers.update({state}, now);
  }
  bool forgets() const { return replica.forgottenBefore() > absl::UnixEpoch(); }

  LedgerOptions options;
  absl::Time now = absl::FromUnixSeconds(1800000000);
  PeerTable peers{kD};
  Outbox out{kD.node};
  Replica replica{kD, options};
  ViewRecord record;
};

TEST_CASE("a member votes only after a majority of the old view can vote no more") {
  Joining joining;
  joining.wait(absl::Seconds(60));
  CHECK(!joining.replica.voting());
  joining.reply(kA);
  joining.wait(absl::Seconds(60));
  CHECK(!joining.replica.voting());
  joining.reply(kC);
  CHECK(joining.replica.voting());
  CHECK(!joining.forgets());
}

TEST_CASE("a later life of an old member doesn't stand for the earlier one") {
  Joining joining;
  joining.reply(kA);
  joining.reply(Member{kB.node, kB.incarnation.next(), kB.zone});
  joining.wait(absl::Seconds(60));
  CHECK(!joining.replica.voting());
}

TEST_CASE(
    "where old members died, what they held is taken as forgotten, but not before the others had time") {
  Joining joining;
  joining.reply(kA);
  joining.newLifeOf(kB);
  joining.wait(joining.options.takeover_patience / 2);
  CHECK(!joining.replica.voting());
  joining.wait(joining.options.takeover_patience);
  CHECK(joining.replica.voting());
  CHECK(joining.forgets());
}

TEST_CASE("members who never took over from their own predecessors don't make a view whole") {
  Joining joining;
  joining.reply(kA, false);
  joining.reply(kB, false);
  joining.reply(kC, false);
  CHECK(joining.replica.voting());
  CHECK(joining.forgets());
}

}  // namespace
}  // namespace quincewick::ledger
