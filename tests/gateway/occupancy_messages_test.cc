#include "gateway/occupancy_messages.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <limits>

namespace quincewick::gateway {
namespace {

const OccupancyMessage kReserved{
    OccupancyMessageKind::kReserved, 5, 77, 12, 9190, 0.25, {31'000, 180, 60}, 0};

TEST_CASE("an occupancy message survives encoding, and truncated bytes are rejected") {
  const std::string bytes = encodeOccupancyMessage(kReserved);
  const auto read = decodeOccupancyMessage(bytes);
  REQUIRE(read.has_value());
  CHECK(read.value().kind == kReserved.kind);
  CHECK(read.value().number == 5);
  CHECK(read.value().engine == 77);
  CHECK(read.value().running == 12);
  CHECK(read.value().prefill_tokens == 9190);
  CHECK(read.value().max_load_seconds == 0.25);
  CHECK(read.value().capability == kReserved.capability);
  for (size_t length = 0; length < bytes.size(); ++length) {
    CHECK(decodeOccupancyMessage(bytes.substr(0, length)).has_error());
  }
}

TEST_CASE("unknown kinds and excessive sizes are rejected, an infinite bound is not") {
  OccupancyMessage message = kReserved;
  message.kind = static_cast<OccupancyMessageKind>(6);
  CHECK(decodeOccupancyMessage(encodeOccupancyMessage(message)).has_error());
  message = kReserved;
  message.prefill_tokens = std::numeric_limits<uint64_t>::max();
  CHECK(decodeOccupancyMessage(encodeOccupancyMessage(message)).has_error());
  message = kReserved;
  message.max_load_seconds = std::numeric_limits<double>::quiet_NaN();
  CHECK(decodeOccupancyMessage(encodeOccupancyMessage(message)).has_error());
  message.max_load_seconds = std::numeric_limits<double>::infinity();
  CHECK(decodeOccupancyMessage(encodeOccupancyMessage(message)).has_value());
}

TEST_CASE("a response with a prefill speed out of range is rejected") {
  for (const uint32_t nanoseconds : {0U, 999U, 10'000'001U}) {
    OccupancyMessage message = kReserved;
    message.capability.read_ns_per_token = nanoseconds;
    CHECK(decodeOccupancyMessage(encodeOccupancyMessage(message)).has_error());
    message.kind = OccupancyMessageKind::kReserve;  // carries no capability
    CHECK(decodeOccupancyMessage(encodeOccupancyMessage(message)).has_value());
  }
}

TEST_CASE("an engine's capability survives conversion to a message and back") {
  forwarding::EngineCapability capability;
  capability.prefill_time_per_token = absl::Microseconds(41);
  capability.pause = absl::Milliseconds(320);
  capability.pause_deviation = absl::Milliseconds(75);
  CHECK(capabilityFrom(messageOf(capability)).value() == capability);
}

TEST_CASE("arbitrary bytes are either rejected or decoded as a bounded occupancy message") {
  CHECK(rc::check([] {
    const auto read = decodeOccupancyMessage(*rc::gen::arbitrary<std::string>());
    const bool is_bounded = read.has_error() || read.value().prefill_tokens <= 1'000'000'000;
    RC_ASSERT(is_bounded);
  }));
}

}  // namespace
}  // namespace quincewick::gateway
