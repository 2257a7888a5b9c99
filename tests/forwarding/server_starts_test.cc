// Servers that restart under the same id. State of the previous incarnation is invalid, whichever way the
// restart became known, and no older incarnation becomes current again.
#include <absl/random/random.h>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <map>
#include <random>

#include "forwarding/engine_placement.h"
#include "forwarding/occupancy_tracker.h"
#include "forwarding/server_choice.h"
#include "forwarding/server_directory.h"

namespace quincewick::forwarding {
namespace {

const ServiceName kService("pool");
const ModelName kModel("m");
const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
const absl::Time kFirstStart = absl::FromUnixMillis(1'700'000'000'000);
const absl::Time kSecondStart = kFirstStart + absl::Seconds(20);

ServerEntry entry(absl::Time started, uint64_t version = 1) {
  ServerEntry result;
  result.id = "a";
  result.started = started;
  result.service = kService;
  result.zone = ZoneName("z");
  result.slots = 4;
  result.models = {{kModel, WeightsVersion(version), {}}};
  return result;
}

TEST_CASE("a restarted server has no state of its earlier incarnation") {
  ServerDirectory directory;
  directory.upsert(entry(kFirstStart, 3));
  const auto earlier = directory.find("a");
  earlier->own = {3, 900};
  ServerDirectory::noteFailure(*earlier, 4, kNow);
  ServerDirectory::noteConnectFailure(*earlier, kNow);
  earlier->noteOwnerLoad({3, 900}, kNow);

  REQUIRE(directory.upsert(entry(kSecondStart, 1)) == EntryEffect::kRestarted);
  const auto later = directory.find("a");
  REQUIRE(later != earlier);
  CHECK(later->isEligible(kNow));
  CHECK(later->load(kNow).running == 0);
  CHECK(later->failureScore(kNow) == 0);
  CHECK(later->versionOf(kModel) == WeightsVersion(1));
  CHECK_FALSE(earlier->isEligible(kNow));
  CHECK(directory.ofService(kService).size() == 1);
}

TEST_CASE("a draining or removed server is eligible after a restart") {
  ServerDirectory directory;
  ServerEntry draining = entry(kFirstStart);
  draining.is_draining = true;
  directory.upsert(draining);
  SECTION("draining") {}
  SECTION("gone") {
    directory.remove("a");
  }
  directory.upsert(entry(kSecondStart));
  CHECK(directory.find("a")->isEligible(kNow));
}

TEST_CASE("an older start time never replaces a newer one, even after the entry was removed") {
  ServerDirectory directory;
  directory.upsert(entry(kSecondStart));
  CHECK(directory.upsert(entry(kFirstStart)) == EntryEffect::kOutdated);
  CHECK(directory.find("a")->entry.started == kSecondStart);
  directory.remove("a");
  CHECK(directory.upsert(entry(kFirstStart)) == EntryEffect::kOutdated);
  CHECK(directory.find("a") == nullptr);
}

TEST_CASE("a server itself reports its later start time before the list does") {
  ServerDirectory directory;
  directory.upsert(entry(kFirstStart, 5));
  const auto earlier = directory.find("a");
  directory.noteRestart(*earlier, kSecondStart, {{kModel, WeightsVersion(4), {}}});
  CHECK(directory.find("a")->versionOf(kModel) == WeightsVersion(4));
  CHECK(directory.upsert(entry(kFirstStart, 5)) == EntryEffect::kOutdated);
  CHECK(directory.upsert(entry(kSecondStart, 4)) == EntryEffect::kKnown);
}

TEST_CASE("an entry without a start time belongs to the known incarnation") {
  ServerDirectory directory;
  directory.upsert(entry(kFirstStart));
  const auto known = directory.find("a");
  CHECK(directory.upsert(entry(absl::InfinitePast())) == EntryEffect::kKnown);
  CHECK(directory.find("a") == known);
  CHECK(known->entry.started == kFirstStart);
}

TEST_CASE("loads that peers reported for the earlier incarnation do not count for the later one") {
  ServerDirectory directory;
  directory.upsert(entry(kFirstStart));
  const uint64_t earlier = directory.find("a")->identity_hash;
  directory.setPeerLoad(NodeId("p"), LoadShare(), {{earlier, {7, 100}}});
  directory.upsert(entry(kSecondStart));
  const auto later = directory.find("a");
  CHECK(directory.findByHash(earlier) == nullptr);
  CHECK(later->peers.running == 0);
  directory.setPeerLoad(NodeId("p"), LoadShare(), {{earlier, {8, 100}}});
  CHECK(later->peers.running == 0);
  directory.setPeerLoad(NodeId("p"), LoadShare(), {{later->identity_hash, {2, 10}}});
  CHECK(later->peers.running == 2);
}

TEST_CASE("reserved slots of the earlier incarnation are not occupied at the later one") {
  ServerDirectory directory;
  OccupancyTracker books;
  directory.upsert(entry(kFirstStart));
  books.reserve({directory.find("a")->identity_hash, NodeId("g"), 1}, 100, false, kNow);
  directory.upsert(entry(kSecondStart));
  CHECK(books.at(directory.find("a")->identity_hash, kNow).running == 0);
}

TEST_CASE("a request that the earlier incarnation received may be sent to the later one") {
  ServerDirectory directory;
  directory.upsert(entry(kFirstStart));
  const uint64_t tried = directory.find("a")->identity_hash;
  std::mt19937 random(7);
  const auto choose = [&] {
    return chooseServer(directory.ofService(kService), {tried}, ZoneName("z"), kNow, random);
  };
  CHECK(choose() == nullptr);
  directory.upsert(entry(kSecondStart));
  CHECK(choose() == directory.find("a"));
}

TEST_CASE("a restarted engine has an empty cache but remains the home of its prompts") {
  ServerDirectory directory;
  EnginePlacement placement{EnginePlacementSettings()};
  for (const char* id : {"a", "b", "c", "d"}) {
    ServerEntry engine = entry(kFirstStart);
    engine.id = id;
    directory.upsert(engine);
  }
  const auto choose = [&] {
    const PlacementRequest request{kModel, {{"trunk", 2500}, {"own", 900}}, "", WeightsVersion()};
    return placement.choose(request, directory.ofService(kService), directory, {}, {}, WeightsVersion(),
                            kNow);
  };
  const auto first = choose();
  REQUIRE(first);
  placement.noteCached(first->server->slot, first->shared_keys, kNow);
  ServerEntry again = first->server->entry;
  again.started = kSecondStart;
  directory.upsert(again);
  for (const EngineNumber slot : directory.takeFreedSlots()) {
    placement.forget(slot);
  }
  const auto second = choose();
  REQUIRE(second);
  CHECK(second->server->entry.id == first->server->entry.id);
  CHECK(second->cached_tokens == 0);
}

TEST_CASE("a server with an unreadable entry gets no new requests and keeps its state") {
  ServerDirectory directory;
  directory.upsert(entry(kFirstStart));
  const auto server = directory.find("a");
  directory.setReadable("a", false);
  CHECK_FALSE(server->isEligible(kNow));
  CHECK_FALSE(server->isLeaving());
  directory.upsert(entry(kFirstStart));
  CHECK(directory.find("a") == server);
  CHECK(server->isEligible(kNow));
}

// Any order of entries, reports and removals: the directory holds the latest start time that it received, and
// an incarnation that was replaced never becomes eligible again.
TEST_CASE("the latest start time wins in any order of updates") {
  CHECK(rc::check([] {
    ServerDirectory directory;
    int64_t latest = -1;
    std::map<int64_t, ServerDirectory::ServerPointer> incarnations;
    const auto start_time_of = [](int64_t number) { return kFirstStart + absl::Seconds(number); };
    for (int step = 0; step < 40; ++step) {
      const int64_t number = *rc::gen::inRange(0, 8);
      const auto known = directory.find("a");
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          directory.remove("a");
          break;
        case 1:
          if (known != nullptr) {
            directory.noteRestart(*known, start_time_of(number), {});
            latest = std::max(latest, number);
          }
          break;
        case 2:
          directory.upsert(entry(absl::InfinitePast()));
          break;
        default:
          directory.upsert(entry(start_time_of(number)));
          latest = std::max(latest, number);
      }
      const auto current = directory.find("a");
      if (current == nullptr) {
        continue;
      }
      const absl::Time started = current->entry.started;
      RC_ASSERT(started == absl::InfinitePast() || started == start_time_of(latest));
      RC_ASSERT(directory.findByHash(current->identity_hash) == current);
      for (const auto& [earlier, server] : incarnations) {
        RC_ASSERT(server == current || !server->isEligible(kNow));
      }
      incarnations[current->entry.started == absl::InfinitePast() ? -1 : latest] = current;
    }
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
