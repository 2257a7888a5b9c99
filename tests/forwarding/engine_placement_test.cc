#include "forwarding/engine_placement.h"

#include <catch2/catch.hpp>

#include <set>

namespace quincewick::forwarding {
namespace {

const ServiceName kService("engines");
const ModelName kModel("m");
const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

struct Fixture {
  ServerDirectory directory;
  EnginePlacement placement{EnginePlacementSettings{}};
  CacheStoreTraits store{{"10.0.0.9", 1}, ZoneName("z")};

  explicit Fixture(int engines = 6) {
    for (int index = 0; index < engines; ++index) {
      ServerEntry entry;
      entry.id = "e" + std::to_string(index);
      entry.service = kService;
      entry.address = {"10.0.0." + std::to_string(index), 80};
      entry.slots = 64;
      entry.models = {{kModel, WeightsVersion(1), {}}};
      directory.upsert(entry);
    }
  }

  std::optional<EngineChoice> choose(const std::string& session,
                                     const std::vector<std::string>& excluded = {},
                                     const std::string& isolation = "", WeightsVersion required = {}) {
    const PlacementRequest request{kModel, {{"trunk", 2500}, {session, 3700}, {"own", 900}}, isolation};
    return placement.choose(request, directory.ofService(kService), directory, &store, excluded, required,
                            kNow);
  }
};

TEST_CASE("a prompt goes where its parts are kept") {
  Fixture fixture;
  const auto first = fixture.choose("s1");
  REQUIRE(first);
  fixture.placement.noteKept(first->server->slot, first->shared_keys, kNow);
  const auto second = fixture.choose("s1");
  REQUIRE(second);
  CHECK(second->server == first->server);
  CHECK(second->cached_tokens == 6200);
  CHECK(second->read_tokens == 900);
}

TEST_CASE("sessions spread over the engines") {
  Fixture fixture;
  std::set<std::string> used;
  for (int session = 0; session < 60; ++session) {
    used.insert(fixture.choose("s" + std::to_string(session))->server->entry.id);
  }
  CHECK(used.size() == 6);
}

TEST_CASE("kept parts are fetched when their engine can't be used") {
  Fixture fixture;
  const auto first = fixture.choose("s1");
  fixture.placement.noteKept(first->server->slot, first->shared_keys, kNow);
  const auto second = fixture.choose("s1", {first->server->entry.id});
  REQUIRE(second);
  CHECK(second->server != first->server);
  CHECK(second->memory_source == first->server->entry.address);
  CHECK(second->fetched_tokens == 6200);
}

// Finding F4: engines give up what they are believed to keep.
TEST_CASE("the cache store is the source of last resort") {
  Fixture fixture;
  const auto first = fixture.choose("s1");
  CHECK(first->memory_source == fixture.store.address);
  CHECK(first->memory_target == fixture.store.address);
  fixture.placement.noteKept(first->server->slot, first->shared_keys, kNow);
  const auto second = fixture.choose("s1");
  CHECK(second->memory_source == fixture.store.address);
  CHECK_FALSE(second->memory_target);
}

TEST_CASE("isolated tenants and versions of weights share nothing") {
  Fixture fixture;
  const auto open = fixture.choose("s1");
  fixture.placement.noteKept(open->server->slot, open->shared_keys, kNow);
  const auto isolated = fixture.choose("s1", {}, "tenant");
  CHECK(isolated->salt != open->salt);
  CHECK(isolated->cached_tokens == 0);
  CHECK(isolated->fetched_tokens == 0);
  ServerDirectory::noteVersion(*open->server, kModel, WeightsVersion(2));
  const auto newer = fixture.choose("s1", {}, "", WeightsVersion(2));
  REQUIRE(newer);
  CHECK(newer->server == open->server);
  CHECK(newer->salt != open->salt);
  CHECK(newer->cached_tokens == 0);
}

TEST_CASE("engines below the required version are not used") {
  Fixture fixture;
  CHECK_FALSE(fixture.choose("s1", {}, "", WeightsVersion(2)));
  ServerDirectory::noteVersion(*fixture.directory.find("e3"), kModel, WeightsVersion(2));
  CHECK(fixture.choose("s1", {}, "", WeightsVersion(2))->server->entry.id == "e3");
}

TEST_CASE("a full engine sheds its sessions to others, which fetch") {
  Fixture fixture;
  const auto first = fixture.choose("s1");
  fixture.placement.noteKept(first->server->slot, first->shared_keys, kNow);
  first->server->peers.running = 200;
  const auto second = fixture.choose("s1");
  CHECK(second->server != first->server);
  CHECK(second->memory_source == first->server->entry.address);
}

}  // namespace
}  // namespace quincewick::forwarding
