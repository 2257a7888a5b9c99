// Damaged ledger messages are rejected without allocating for the lengths that they name.
#include "ledger/messages.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <new>

namespace {

size_t largest_allocation = 0;  // in bytes, since it was last reset

}  // namespace

// Not inlined: the compiler would compare each with the operator that it knows.
[[gnu::noinline]] void* operator new(size_t size) {
  largest_allocation = std::max(largest_allocation, size);
  if (void* const memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, size_t /*size*/) noexcept {
  std::free(memory);
}

namespace quincewick::ledger {
namespace {

ActionRecord exampleRecord() {
  ActionRecord record;
  record.key = {TenantId("tenant"), IdempotencyKey("key")};
  record.owner = {NodeId("node"), Incarnation(1), 2};
  record.state = RecordState::kDone;
  record.outcome = "outcome";
  return record;
}

// Guards against messages that take gigabytes before they are rejected: every byte of each message is damaged
// so that a length that contains it becomes about 4 GB.
TEST_CASE("a false length in a message allocates no more than a message may need") {
  TakeoverReply reply;
  reply.records = {exampleRecord(), exampleRecord()};
  ViewAnnounce announce;
  announce.record.view.members = {{NodeId("node"), Incarnation(1), ZoneName("zone")}};
  announce.record.predecessors = {announce.record.view};
  for (const Message& message :
       {Message(reply), Message(announce), Message(CompleteRequest{{}, exampleRecord()})}) {
    const std::string whole = encode(message);
    REQUIRE(decode(whole).has_value());
    for (size_t place = 0; place + 4 <= whole.size(); ++place) {
      std::string damaged = whole;
      damaged.replace(place, 4, "\xff\xff\xff\xff");
      largest_allocation = 0;
      static_cast<void>(decode(damaged));
      CAPTURE(place);
      CHECK(largest_allocation <= kMaximumMessageBytes * sizeof(ActionRecord));
    }
  }
}

TEST_CASE("an encoded message is read as cereal's portable binary archive wrote it") {
  const ActionRecord record = exampleRecord();
  const auto decoded = decodeActionRecord(encodeActionRecord(record));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == record);
}

}  // namespace
}  // namespace quincewick::ledger
