#include "gateway/packed_rows.h"

#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "gateway/relay_messages.h"
#include "gateway/snapshot_limiter.h"

namespace quincewick::gateway {
namespace {

std::vector<forwarding::StoreRow> servers(int count) {
  std::vector<forwarding::StoreRow> rows;
  for (int number = 0; number < count; ++number) {
    forwarding::StoreRow row;
    row.key = absl::StrCat("i-", absl::Hex(number * 2654435761U, absl::kZeroPad8));
    row.value = absl::StrCat(R"({"service":"pool","address":"10.1.)", number / 256 % 256, ".", number % 256,
                             R"(:8080","zone":"hall-a","version":"v1","slots":16,"state":"ready",)",
                             R"("coldRemainingMs":0,"stage":"colocated","models":[{"name":"m","version":1,)",
                             R"("adapters":[]}],"sequence":)", number % 40, "}");
    row.version = 1000 + static_cast<uint64_t>(number);
    rows.push_back(row);
  }
  return rows;
}

bool isSame(const forwarding::StoreRow& one, const forwarding::StoreRow& other) {
  return one.key == other.key && one.value == other.value && one.version == other.version &&
         one.is_gone == other.is_gone;
}

// All 200 followers of a zone may request the rows at once; over a link of 200 Mbit/s that may take 3
// seconds.
TEST_CASE("the rows of 10,000 and 20,000 servers survive packing, and fit the link of a zone's reader") {
  for (const int count : {10'000, 20'000}) {
    const auto rows = servers(count);
    const std::string packed = packRows(rows);
    const auto read = unpackRows(packed);
    REQUIRE(read.has_value());
    REQUIRE(read.value().size() == rows.size());
    CHECK(std::equal(rows.begin(), rows.end(), read.value().begin(), isSame));
    constexpr size_t bytes_a_follower = size_t{200} * 1'000'000 / 8 * 3 / 200;
    CHECK(packed.size() * 10'000 / static_cast<size_t>(count) <= bytes_a_follower);
  }
}

TEST_CASE("packed and plain responses are both decoded, since peers may run an earlier build") {
  RelayResponse response;
  response.rows = servers(3);
  response.is_whole = true;
  response.version = 9;
  const auto plain = decodeAnyRelayResponse(encodeRelayResponse(response));
  REQUIRE(plain.has_value());
  CHECK(plain.value().rows.size() == 3);
  PackedRelayResponse packed{response, packRows(response.rows)};
  packed.response.rows.clear();
  const auto unpacked = decodeAnyRelayResponse(encodePackedResponse(packed));
  REQUIRE(unpacked.has_value());
  CHECK(unpacked.value().rows.size() == 3);
  CHECK(unpacked.value().version == 9);
  CHECK(unpacked.value().is_whole);
}

TEST_CASE("the state of the reader's copy survives encoding, and responses of earlier builds have none") {
  RelayResponse response;
  response.rows = servers(3);
  response.version = 9;
  PackedRelayResponse packed{response, packRows(response.rows)};
  packed.response.rows.clear();
  const auto without = decodeAnyRelayResponse(encodePackedResponse(packed));
  REQUIRE(without.has_value());
  CHECK_FALSE(without.value().copy);
  packed.response.copy = CopyState{0x123456789abcdefU, 2};
  const std::string encoded = encodePackedResponse(packed);
  const auto with = decodeAnyRelayResponse(encoded);
  REQUIRE(with.has_value());
  REQUIRE(with.value().copy);
  CHECK(with.value().copy->digest == 0x123456789abcdefU);
  CHECK(with.value().copy->restores == 2);
  CHECK(with.value().rows.size() == 3);
  for (size_t size = 0; size < encoded.size(); ++size) {
    CHECK(decodeAnyRelayResponse(encoded.substr(0, size)).has_error());
  }
}

TEST_CASE("arbitrary bytes as packed rows are either unpacked completely or refused") {
  CHECK(rc::check([](const std::string& bytes) { RC_ASSERT(unpackRows(bytes).has_error()); }));
  const std::string packed = packRows(servers(50));
  for (size_t size = 0; size < packed.size(); size += 7) {
    CHECK(unpackRows(packed.substr(0, size)).has_error());
  }
  CHECK(rc::check([&packed] {
    std::string spoilt = packed;
    spoilt[*rc::gen::inRange<size_t>(0, packed.size())] = *rc::gen::arbitrary<char>();
    const auto read = unpackRows(spoilt);
    const bool is_bounded = read.has_value() && read.value().size() <= 100'000U;
    RC_ASSERT(read.has_error() != is_bounded);
  }));
}

TEST_CASE(
    "a limited number of followers get a snapshot at once, and the next one after a delivery or a timeout") {
  SnapshotLimiter limiter;
  const absl::Time now = absl::FromUnixSeconds(1000);
  for (size_t number = 0; number < SnapshotLimiter::kMaxConcurrent; ++number) {
    CHECK(limiter.maySend(now));
    limiter.noteSent(NodeId(absl::StrCat("g-", number)), now);
  }
  CHECK_FALSE(limiter.maySend(now));
  limiter.noteDelivered(NodeId("g-5"));
  CHECK(limiter.maySend(now));
  limiter.noteSent(NodeId("g-new"), now);
  CHECK_FALSE(limiter.maySend(now + absl::Seconds(1)));
  CHECK(limiter.maySend(now + absl::Seconds(3)));
}

}  // namespace
}  // namespace quincewick::gateway
