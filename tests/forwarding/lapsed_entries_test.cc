#include "forwarding/lapsed_entries.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kStart = absl::UnixEpoch();

// One read per second for 3 s, then none until the outage ends.
LapsedEntries afterOutage(absl::Duration outage) {
  LapsedEntries entries;
  for (int second = 0; second <= 3; ++second) {
    entries.noteListRead(kStart + absl::Seconds(second));
  }
  entries.noteStoreOutage();
  entries.noteListRead(kStart + absl::Seconds(3) + outage);
  return entries;
}

// Guards against dropping all servers with lapsed entries on the first read after an outage.
TEST_CASE("an entry that is missing right after an outage may reappear for two seconds") {
  const absl::Time end = kStart + absl::Seconds(8);
  LapsedEntries entries = afterOutage(absl::Seconds(5));
  REQUIRE(entries.mayReappear(end));
  entries.await("back");
  entries.await("gone");
  entries.noteListRead(end + absl::Seconds(1));
  CHECK(entries.takeLapsed(end + absl::Seconds(1)).empty());
  entries.noteListRead(end + absl::Seconds(2));
  CHECK(entries.mayReappear(end + absl::Seconds(2)));
  entries.notePresent("back");
  entries.noteListRead(end + absl::Seconds(3));
  CHECK_FALSE(entries.mayReappear(end + absl::Seconds(3)));
  CHECK(entries.takeLapsed(end + absl::Seconds(3)) == std::vector<std::string>{"gone"});
  CHECK(entries.takeLapsed(end + absl::Seconds(4)).empty());
}

TEST_CASE("a delta received before the first snapshot is part of the outage") {
  LapsedEntries entries;
  entries.noteListRead(kStart);
  entries.noteStoreOutage();
  CHECK_FALSE(entries.mayReappear(kStart + absl::Seconds(2)));
  CHECK(entries.mayReappear(kStart + absl::Seconds(4)));
  entries.await("s");
  CHECK(entries.takeLapsed(kStart + absl::Seconds(9)).empty());
}

TEST_CASE("without an outage a missing entry means that the server is gone") {
  CHECK_FALSE(afterOutage(absl::Milliseconds(1800)).mayReappear(kStart + absl::Milliseconds(4800)));
}

// The reader changed, or this node was frozen, while others continued to read.
TEST_CASE("a node that alone got no read for a while assumes no outage") {
  LapsedEntries entries;
  entries.noteListRead(kStart);
  CHECK_FALSE(entries.mayReappear(kStart + absl::Seconds(5)));
  entries.noteListRead(kStart + absl::Seconds(5));
  CHECK_FALSE(entries.mayReappear(kStart + absl::Seconds(5)));
}

TEST_CASE("a node that has just started expects no entry to reappear") {
  LapsedEntries entries;
  entries.noteListRead(kStart + absl::Hours(1));
  CHECK_FALSE(entries.mayReappear(kStart + absl::Hours(1)));
}

}  // namespace
}  // namespace quincewick::forwarding
