#include "gateway/crash_message.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "peer/envelope.h"

namespace quincewick::gateway {
namespace {

forwarding::RequestIdentity request(uint64_t number) {
  return {number, ~number};
}

CrashMessage fullMessage() {
  CrashMessage message;
  forwarding::ServerCrash end{11, 12, {}, absl::Seconds(1)};
  for (uint64_t number = 0; number < kCrashMessageCapacity - 2; ++number) {
    end.in_flight.push_back(request(number));
  }
  message.crashes.push_back(end);
  return message;
}

TEST_CASE("a crash message survives encoding, and truncated or extended bytes are rejected") {
  CrashMessage message;
  message.crashes.push_back({1, 2, {request(3), request(4)}, absl::Milliseconds(250)});
  message.cleared.push_back(request(5));
  message.quarantined.push_back({request(6), true});
  const std::string bytes = encodeCrashMessage(message);
  const auto read = decodeCrashMessage(bytes);
  REQUIRE(read.has_value());
  REQUIRE(read.value().crashes.size() == 1);
  CHECK(read.value().crashes[0].incarnation == 1);
  CHECK(read.value().crashes[0].service == 2);
  CHECK(read.value().crashes[0].in_flight == message.crashes[0].in_flight);
  CHECK(read.value().crashes[0].ago == message.crashes[0].ago);
  CHECK(read.value().cleared == message.cleared);
  CHECK(read.value().quarantined == message.quarantined);
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK(decodeCrashMessage(bytes.substr(0, size)).has_error());
  }
  CHECK(decodeCrashMessage(bytes + "x").has_error());
}

TEST_CASE("a full crash message fits into a datagram") {
  CHECK(encodeCrashMessage(fullMessage()).size() <= peer::kMaximumDatagramPayload);
  CrashMessage quarantined;
  for (uint64_t number = 0; number < kCrashMessageCapacity; ++number) {
    quarantined.quarantined.push_back({request(number), true});
  }
  CHECK(encodeCrashMessage(quarantined).size() <= peer::kMaximumDatagramPayload);
}

TEST_CASE("a crash message of another version is rejected") {
  std::string bytes = encodeCrashMessage(fullMessage());
  const size_t version = 1;  // behind the archive's byte order
  for (const char other : {char(0), char(2), char(255)}) {
    bytes[version] = other;
    CHECK(decodeCrashMessage(bytes).has_error());
  }
}

TEST_CASE("arbitrary bytes are either rejected or decoded as a bounded crash message") {
  CHECK(rc::check([](const std::string& bytes) {
    const auto read = decodeCrashMessage(bytes);
    const bool is_bounded = read.has_error() || read.value().crashes.size() <= 64;
    RC_ASSERT(is_bounded);
  }));
}

// A gateway of the version before crash messages rejects only that kind of envelope, as the numbers of the
// other kinds are unchanged.
TEST_CASE("the kinds of messages between gateways keep their numbers") {
  CHECK(static_cast<int>(peer::PeerModule::kMembership) == 1);
  CHECK(static_cast<int>(peer::PeerModule::kConfiguration) == 2);
  CHECK(static_cast<int>(peer::PeerModule::kLedger) == 3);
  CHECK(static_cast<int>(peer::PeerModule::kFleet) == 4);
  CHECK(static_cast<int>(peer::PeerModule::kLimits) == 5);
  CHECK(static_cast<int>(peer::PeerModule::kRouting) == 6);
  CHECK(static_cast<int>(peer::PeerModule::kOccupancy) == 7);
  CHECK(static_cast<int>(peer::PeerModule::kCrashes) == 8);
  CHECK(static_cast<int>(peer::PeerModule::kStagedRollouts) == 9);
  CHECK(static_cast<int>(peer::PeerModule::kServerRates) == 10);
}

}  // namespace
}  // namespace quincewick::gateway
