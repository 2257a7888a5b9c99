#include "forwarding/lapsed_entries.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kStart = absl::UnixEpoch();

// Readings each second up to the time, then none until the outage ends.
LapsedEntries afterOutage(absl::Duration outage) {
  LapsedEntries entries;
  for (int second = 0; second <= 3; ++second) {
    entries.noteReading(kStart + absl::Seconds(second));
  }
  entries.noteStoreOutage();
  entries.noteReading(kStart + absl::Seconds(3) + outage);
  return entries;
}

// Finding F22: all servers whose entries had lapsed were dropped with the first reading after an outage.
TEST_CASE("an entry that is missing right after an outage may come back for two seconds") {
  const absl::Time end = kStart + absl::Seconds(8);
  LapsedEntries entries = afterOutage(absl::Seconds(5));
  REQUIRE(entries.mayReappear(end));
  entries.await("back");
  entries.await("gone");
  entries.noteReading(end + absl::Seconds(1));
  CHECK(entries.takeLapsed(end + absl::Seconds(1)).empty());
  entries.noteReading(end + absl::Seconds(2));
  CHECK(entries.mayReappear(end + absl::Seconds(2)));
  entries.notePresent("back");
  entries.noteReading(end + absl::Seconds(3));
  CHECK_FALSE(entries.mayReappear(end + absl::Seconds(3)));
  CHECK(entries.takeLapsed(end + absl::Seconds(3)) == std::vector<std::string>{"gone"});
  CHECK(entries.takeLapsed(end + absl::Seconds(4)).empty());
}

TEST_CASE("a change that comes before the first whole reading is part of the outage") {
  LapsedEntries entries;
  entries.noteReading(kStart);
  entries.noteStoreOutage();
  CHECK_FALSE(entries.mayReappear(kStart + absl::Seconds(2)));
  CHECK(entries.mayReappear(kStart + absl::Seconds(4)));
  entries.await("s");
  CHECK(entries.takeLapsed(kStart + absl::Seconds(9)).empty());
}

TEST_CASE("without an outage a missing entry is gone") {
  CHECK_FALSE(afterOutage(absl::Milliseconds(1800)).mayReappear(kStart + absl::Milliseconds(4800)));
}

// The reader changed, or this node stood still, while others had their readings.
TEST_CASE("a node that alone had no reading for a while has seen no outage") {
  LapsedEntries entries;
  entries.noteReading(kStart);
  CHECK_FALSE(entries.mayReappear(kStart + absl::Seconds(5)));
  entries.noteReading(kStart + absl::Seconds(5));
  CHECK_FALSE(entries.mayReappear(kStart + absl::Seconds(5)));
}

TEST_CASE("a node that has just started awaits nothing") {
  LapsedEntries entries;
  entries.noteReading(kStart + absl::Hours(1));
  CHECK_FALSE(entries.mayReappear(kStart + absl::Hours(1)));
}

}  // namespace
}  // namespace quincewick::forwarding
