#include "forwarding/stream_origins.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000'000);
const StreamOrigin kOrigin{ServiceName("s"), SoftwareVersion("v1")};

StreamRecord recordOf(const std::string& attempt, const std::string& software = "v1") {
  return {{TenantId("t"), attempt}, {ServiceName("s"), SoftwareVersion(software)}};
}

// A gateway that is alone on its site.
StreamOrigins aloneOnSite() {
  StreamOrigins origins(NodeId("g"), 1);
  origins.setMembers({{NodeId("g"), 1, ZoneName("z")}});
  return origins;
}

std::optional<StreamLookup> lookup(StreamOrigins& origins, const StreamKey& key, absl::Time now) {
  StreamOriginActions actions;
  origins.find(key, now, actions);
  return actions.lookups.empty() ? std::nullopt : std::optional(actions.lookups.front());
}

TEST_CASE("a stream's record is found by its tenant alone, and until it expires") {
  StreamOrigins origins = aloneOnSite();
  StreamOriginActions actions;
  origins.record(recordOf("a"), absl::Seconds(5), kStart, actions);
  CHECK(lookup(origins, {TenantId("t"), "a"}, kStart)->origin == kOrigin);
  CHECK_FALSE(lookup(origins, {TenantId("other"), "a"}, kStart)->origin);
  CHECK_FALSE(lookup(origins, {TenantId(), "a"}, kStart)->origin);
  CHECK_FALSE(lookup(origins, {TenantId("t"), ""}, kStart)->origin);
  CHECK_FALSE(lookup(origins, {TenantId("t"), "a"}, kStart + absl::Seconds(5))->origin);
  origins.onTick(kStart + absl::Seconds(5), actions);
  CHECK(origins.recordCount() == 0);
}

TEST_CASE("an attempt id that was used for streams of two versions goes on at neither") {
  StreamOrigins origins = aloneOnSite();
  StreamOriginActions actions;
  origins.record(recordOf("a", "v1"), absl::Seconds(5), kStart, actions);
  origins.record(recordOf("a", "v2"), absl::Seconds(5), kStart, actions);
  CHECK(lookup(origins, recordOf("a").key, kStart)->is_contradictory);
}

// Guards against records that are lost because the gateway has just started.
TEST_CASE("while the other gateways aren't known, records go to the store and lookups wait") {
  StreamOrigins origins(NodeId("g"), 1);
  StreamOriginActions actions;
  origins.record(recordOf("a"), absl::Seconds(5), kStart, actions);
  CHECK(actions.to_store.size() == 1);
  CHECK_FALSE(lookup(origins, recordOf("b").key, kStart));
  origins.setMembers({{NodeId("g"), 1, ZoneName("z")}, {NodeId("h"), 1, ZoneName("z")}});
  actions = {};
  origins.onTick(origins.nextWakeup(), actions);
  REQUIRE(actions.messages.size() == 1);
  CHECK(actions.messages[0].to == NodeId("h"));
  CHECK(actions.messages[0].message.kind == StreamOriginMessageKind::kAsk);
}

TEST_CASE("a record that no holder acknowledges goes to the store once") {
  StreamOrigins origins(NodeId("g"), 1);
  origins.setMembers({{NodeId("g"), 1, ZoneName("z")}, {NodeId("h"), 1, ZoneName("z")}});
  StreamOriginActions actions;
  origins.record(recordOf("a"), absl::Seconds(5), kStart, actions);
  absl::Time now = kStart;
  while (now < kStart + absl::Seconds(4)) {
    now += absl::Milliseconds(50);
    origins.onTick(now, actions);
  }
  CHECK(actions.to_store.size() == 1);
}

TEST_CASE("the number of records is bounded") {
  StreamOrigins origins = aloneOnSite();
  StreamOriginActions actions;
  for (int number = 0; number < 21'000; ++number) {
    origins.record(recordOf(std::to_string(number)), absl::Seconds(5), kStart + absl::Milliseconds(number),
                   actions);
  }
  CHECK(origins.recordCount() == 20'000);
  origins.record(recordOf(std::string(129, 'x')), absl::Seconds(5), kStart, actions);
  CHECK(origins.recordCount() == 20'000);
}

TEST_CASE("messages about streams read back as they were written, and damaged ones are rejected") {
  CHECK(rc::check([] {
    StreamOriginMessage message;
    message.kind = static_cast<StreamOriginMessageKind>(*rc::gen::inRange(1, 7));
    message.number = *rc::gen::arbitrary<uint64_t>();
    message.record.key = {TenantId(*rc::gen::container<std::string>(20, rc::gen::arbitrary<char>())),
                          *rc::gen::container<std::string>(30, rc::gen::arbitrary<char>())};
    message.record.origin = kOrigin;
    message.lifetime = absl::Milliseconds(*rc::gen::inRange(0, 60'000));
    const std::string bytes = encodeStreamOriginMessage(message);
    const auto read = decodeStreamOriginMessage(bytes);
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value().number == message.number);
    RC_ASSERT(read.value().record.key == message.record.key);
    RC_ASSERT(read.value().record.origin == kOrigin);
    RC_ASSERT(read.value().lifetime == message.lifetime);
    const auto size = *rc::gen::inRange<size_t>(0, bytes.size());
    RC_ASSERT(decodeStreamOriginMessage(bytes.substr(0, size)).has_error());
  }));
}

}  // namespace
}  // namespace quincewick::forwarding
