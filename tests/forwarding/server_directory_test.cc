#include "forwarding/server_directory.h"

#include <absl/random/random.h>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <random>

#include "forwarding/server_choice.h"

namespace quincewick::forwarding {
namespace {

const ServiceName kService("pool");
const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

ServerEntry entry(const std::string& id) {
  ServerEntry result;
  result.id = id;
  result.service = kService;
  result.zone = ZoneName("z");
  result.slots = 4;
  result.models = {{ModelName("m"), WeightsVersion(1), {}}};
  return result;
}

TEST_CASE("versions of one incarnation only rise, whatever an old entry says") {
  ServerDirectory directory;
  CHECK(directory.upsert(entry("a")) == EntryEffect::kNew);
  const auto server = directory.find("a");
  ServerDirectory::noteVersion(*server, ModelName("m"), WeightsVersion(3));
  CHECK(directory.upsert(entry("a")) == EntryEffect::kKnown);
  CHECK(server->versionOf(ModelName("m")) == WeightsVersion(3));
}

TEST_CASE("a draining server gets no new requests and never becomes eligible again") {
  ServerDirectory directory;
  ServerEntry draining = entry("a");
  draining.is_draining = true;
  directory.upsert(draining);
  directory.upsert(entry("a"));
  CHECK_FALSE(directory.find("a")->isEligible(kNow));
}

TEST_CASE("a removed server frees its slot and invalidates what was recorded for it") {
  ServerDirectory directory;
  directory.upsert(entry("a"));
  const auto server = directory.find("a");
  CHECK(directory.missingFrom({"b"}) == std::vector<std::string>{"a"});
  for (const std::string& id : directory.missingFrom({})) {
    directory.remove(id);
  }
  CHECK_FALSE(server->isEligible(kNow));
  CHECK(directory.ofService(kService).empty());
  CHECK(directory.takeFreedSlots() == std::vector<EngineNumber>{server->slot});
  directory.upsert(entry("b"));
  CHECK(directory.find("b")->slot == server->slot);
  CHECK(directory.takeFreedSlots().empty());
}

TEST_CASE("loads of peers add up, however their reports are split, and those of a silent peer are dropped") {
  CHECK(rc::check([] {
    ServerDirectory directory;
    std::vector<uint64_t> hashes;
    for (const char* id : {"a", "b", "c", "d", "e"}) {
      directory.upsert(entry(id));
      hashes.push_back(directory.find(id)->identity_hash);
    }
    std::vector<std::vector<uint32_t>> last(4, std::vector<uint32_t>(hashes.size(), 0));
    for (int step = 0; step < 30; ++step) {
      const size_t peer = *rc::gen::inRange<size_t>(0, last.size());
      const NodeId id("p" + std::to_string(peer));
      if (*rc::gen::inRange(0, 5) == 0) {
        directory.forgetPeerLoad(id);
        last[peer].assign(hashes.size(), 0);
        continue;
      }
      const uint32_t parts = *rc::gen::inRange(1U, 4U);
      const LoadShare share = {*rc::gen::inRange(0U, parts), parts};
      std::vector<PeerLoad> loads;
      for (size_t server = 0; server < hashes.size(); ++server) {
        if (hashes[server] % parts != share.part) {
          continue;
        }
        last[peer][server] = *rc::gen::inRange(0U, 9U);
        if (last[peer][server] > 0) {
          loads.push_back({hashes[server], {last[peer][server], 0}});
        }
      }
      directory.setPeerLoad(id, share, loads);
    }
    for (size_t server = 0; server < hashes.size(); ++server) {
      const uint32_t sum = last[0][server] + last[1][server] + last[2][server] + last[3][server];
      RC_ASSERT(directory.findByHash(hashes[server])->peers.running == sum);
    }
  }));
}

TEST_CASE(
    "the load reported by an occupancy's owner is valid for a while, adjusted by this node's own changes") {
  ServerDirectory directory;
  directory.upsert(entry("a"));
  const auto server = directory.find("a");
  server->own = {2, 300};
  server->noteOwnerLoad({10, 5000}, kNow);
  CHECK(server->load(kNow).running == 10);
  server->own = {3, 200};
  CHECK(server->load(kNow + absl::Milliseconds(300)).running == 11);
  CHECK(server->load(kNow + absl::Milliseconds(300)).prefill_tokens == 4900);
  CHECK(server->load(kNow + absl::Milliseconds(500)).running == 3);
}

TEST_CASE("a server is ejected for longer with each consecutive connect failure") {
  ServerDirectory directory;
  directory.upsert(entry("a"));
  const auto server = directory.find("a");
  ServerDirectory::noteConnectFailure(*server, kNow);
  const absl::Time first = server->ejected_until;
  CHECK_FALSE(server->isEligible(kNow));
  CHECK(server->isEligible(first));
  ServerDirectory::noteConnectFailure(*server, first);
  CHECK(server->ejected_until - first > first - kNow);
}

TEST_CASE("the choice avoids loaded, failing and excluded servers") {
  ServerDirectory directory;
  for (const char* id : {"a", "b", "c"}) {
    directory.upsert(entry(id));
  }
  std::mt19937 random(7);
  const auto identity_hash_of = [&](const std::string& id) { return directory.find(id)->identity_hash; };
  const auto choose = [&](const std::vector<uint64_t>& excluded) {
    return chooseServer(directory.ofService(kService), excluded, ZoneName("z"), kNow, random)->entry.id;
  };
  directory.find("a")->own.running = 8;
  ServerDirectory::noteFailure(*directory.find("b"), 4, kNow);
  CHECK(choose({}) == "c");
  CHECK(choose({identity_hash_of("c"), identity_hash_of("b")}) == "a");
  CHECK(chooseServer(directory.ofService(kService),
                     {identity_hash_of("a"), identity_hash_of("b"), identity_hash_of("c")}, ZoneName("z"),
                     kNow, random) == nullptr);
}

TEST_CASE("a rate limit set by a server outlasts its entry and ends with its incarnation") {
  ServerDirectory directory;
  ServerEntry first = entry("a");
  first.started = kNow;
  directory.upsert(first);
  directory.find("a")->back_pressure->noteRateLimit(2);
  directory.upsert(first);
  CHECK(directory.find("a")->back_pressure->rateLimit() == 2.0);
  directory.remove("a");
  directory.upsert(first);
  CHECK(directory.find("a")->back_pressure->rateLimit() == 2.0);
  ServerEntry second = first;
  second.started = kNow + absl::Seconds(1);
  directory.upsert(second);
  CHECK_FALSE(directory.find("a")->back_pressure->rateLimit());
}

TEST_CASE(
    "a server whose rate is used up gets no new requests until capacity is free or a response sets no "
    "limit") {
  ServerDirectory directory;
  directory.upsert(entry("a"));
  const auto server = directory.find("a");
  CHECK(server->back_pressure->noteRateLimit(4));
  CHECK_FALSE(server->back_pressure->noteRateLimit(4));
  CHECK(server->back_pressure->timePerRequest() == absl::Milliseconds(250));
  server->back_pressure->noteRateUsedUp(absl::Milliseconds(300), kNow);
  CHECK_FALSE(server->isEligible(kNow + absl::Milliseconds(299)));
  CHECK(firstAvailableAt(directory.ofService(kService), kNow) == kNow + absl::Milliseconds(300));
  CHECK(server->isEligible(kNow + absl::Milliseconds(300)));
  server->back_pressure->noteRateUsedUp(absl::Hours(1), kNow);
  CHECK(server->isEligible(kNow + absl::Seconds(1)));
  server->back_pressure->noteRateUsedUp(absl::Seconds(1), kNow);
  CHECK(server->back_pressure->noteRateLimit(std::nullopt));
  CHECK(server->isEligible(kNow));
}

TEST_CASE("no retry time is given while a server is free or all have left") {
  ServerDirectory directory;
  CHECK(firstAvailableAt(directory.ofService(kService), kNow) == absl::InfiniteFuture());
  directory.upsert(entry("a"));
  directory.upsert(entry("b"));
  directory.find("a")->back_pressure->noteRateLimit(4);
  directory.find("a")->back_pressure->noteRateUsedUp(absl::Milliseconds(300), kNow);
  CHECK(firstAvailableAt(directory.ofService(kService), kNow) == absl::InfiniteFuture());
  directory.remove("b");
  CHECK(firstAvailableAt(directory.ofService(kService), kNow) == kNow + absl::Milliseconds(300));
}

// In a store outage, an entry lapses and reappears unchanged.
// Guards against streams that go on at another software version because a server's own is taken from an
// earlier incarnation's entry.
TEST_CASE("a software version is proven by an entry of the very incarnation that states it alone") {
  ServerDirectory directory;
  ServerEntry first = entry("a");
  first.software = SoftwareVersion("v1");
  first.started = absl::UnixEpoch() + absl::Seconds(1);
  directory.upsert(first);
  CHECK(directory.find("a")->provenSoftware() == SoftwareVersion("v1"));

  directory.noteRestart(*directory.find("a"), absl::UnixEpoch() + absl::Seconds(2), {});
  CHECK_FALSE(directory.find("a")->provenSoftware());
  directory.upsert(first);  // the entry is late
  CHECK_FALSE(directory.find("a")->provenSoftware());

  ServerEntry second = first;
  second.started = absl::UnixEpoch() + absl::Seconds(2);
  second.software = SoftwareVersion("v2");
  directory.upsert(second);
  CHECK(directory.find("a")->provenSoftware() == SoftwareVersion("v2"));

  second.software = SoftwareVersion("v3");
  directory.upsert(second);
  CHECK_FALSE(directory.find("a")->provenSoftware());
}

TEST_CASE("a server that announced its leaving is eligible again only as a later incarnation") {
  ServerDirectory directory;
  ServerEntry first = entry("a");
  first.started = kNow;
  directory.upsert(first);
  CHECK(directory.find("a")->back_pressure->noteLeaving());
  CHECK_FALSE(directory.find("a")->back_pressure->noteLeaving());
  directory.upsert(first);
  CHECK_FALSE(directory.find("a")->isEligible(kNow));
  directory.remove("a");
  directory.upsert(first);
  CHECK_FALSE(directory.find("a")->isEligible(kNow));
  CHECK_FALSE(directory.find("a")->mayReceive(kNow));
  ServerEntry second = first;
  second.started = kNow + absl::Seconds(1);
  directory.upsert(second);
  CHECK(directory.find("a")->isEligible(kNow));
}

}  // namespace
}  // namespace quincewick::forwarding
