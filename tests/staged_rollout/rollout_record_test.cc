#include "staged_rollout/rollout_record.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace quincewick::staged_rollout {
namespace {

RolloutRecord record() {
  RolloutRecord record;
  record.service = ServiceName("pool");
  record.base = SoftwareVersion("v1");
  record.target = SoftwareVersion("v2");
  record.stage = RolloutStage::kMoving;
  record.share = 0.25;
  record.request_row = 12;
  record.began = absl::Seconds(100);
  record.deadline = absl::Seconds(112);
  record.stage_began = absl::Seconds(107);
  record.base_until = absl::Seconds(109);
  record.fence = Epoch(7);
  record.bad_responses = 3;
  return record;
}

TEST_CASE("a record round-trips, and truncated or extended bytes are rejected") {
  const std::string bytes = encodeRecord(record());
  REQUIRE(decodeRecord(bytes).has_value());
  CHECK(decodeRecord(bytes).value() == record());
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK(decodeRecord(bytes.substr(0, size)).has_error());
  }
  CHECK(decodeRecord(bytes + "x").has_error());
}

TEST_CASE("a record with an unknown format version or an invalid share is rejected") {
  std::string later = encodeRecord(record());
  later[1] = 2;  // after the archive's own first byte
  CHECK(decodeRecord(later).has_error());
  RolloutRecord too_much = record();
  too_much.share = 1.5;
  CHECK(decodeRecord(encodeRecord(too_much)).has_error());
}

TEST_CASE("arbitrary bytes are read as a complete record or rejected") {
  REQUIRE(rc::check("bytes", [](const std::string& bytes) {
    const auto read = decodeRecord(bytes);
    const bool is_whole = read.has_value() && encodeRecord(read.value()).size() == bytes.size();
    RC_ASSERT(read.has_error() != is_whole);
  }));
  REQUIRE(rc::check("one byte of a record is changed", [] {
    std::string bytes = encodeRecord(record());
    const auto place = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[place] = *rc::gen::arbitrary<char>();
    const auto read = decodeRecord(bytes);
    const bool is_sound = read.has_value() && read.value().share >= 0 && read.value().share <= 1;
    RC_ASSERT(read.has_error() != is_sound);
  }));
}

}  // namespace
}  // namespace quincewick::staged_rollout
