#include "gateway/part_message.h"

#include <catch2/catch.hpp>

#include "peer/envelope.h"

namespace quincewick::gateway {
namespace {

using forwarding::PartCarrier;
using forwarding::PartKey;

TEST_CASE("a message on parts survives encoding, and truncated or extended bytes are rejected") {
  PartMessage message;
  message.crashes.push_back({1, 2, {PartCarrier{3, {PartKey(4), PartKey(5)}}}, absl::Milliseconds(250)});
  message.accused.push_back({{PartKey(6)}, absl::Seconds(3)});
  message.served.push_back({PartKey(7), absl::Seconds(4)});
  message.quarantined.push_back(
      {{PartKey(8), PartKey(9)}, 2, absl::Seconds(6), absl::Seconds(5), {1, 7}, true});
  const std::string bytes = encodePartMessage(message);
  const auto read = decodePartMessage(bytes);
  REQUIRE(read.has_value());
  REQUIRE(read.value().crashes.size() == 1);
  CHECK(read.value().crashes[0].incarnation == 1);
  CHECK(read.value().crashes[0].service == 2);
  CHECK(read.value().crashes[0].in_flight == message.crashes[0].in_flight);
  CHECK(read.value().crashes[0].ago == message.crashes[0].ago);
  CHECK(read.value().accused == message.accused);
  CHECK(read.value().served == message.served);
  CHECK(read.value().quarantined == message.quarantined);
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK(decodePartMessage(bytes.substr(0, size)).has_error());
  }
  CHECK(decodePartMessage(bytes + "x").has_error());
}

TEST_CASE("a crash with many requests is reported in several datagrams, each request once") {
  forwarding::PartCrash crash{1, 2, {}, absl::Seconds(1)};
  for (uint64_t request = 0; request < 100; ++request) {
    crash.in_flight.push_back(
        {request, std::vector<PartKey>(request % forwarding::kMaxSharedParts, PartKey(request))});
  }
  std::vector<PartCarrier> reported;
  for (const forwarding::PartCrash& report : splitForDatagrams(crash)) {
    CHECK(report.incarnation == crash.incarnation);
    CHECK(report.service == crash.service);
    CHECK(report.ago == crash.ago);
    PartMessage message;
    message.crashes = {report};
    CHECK(encodedSize(message) <= peer::kMaximumDatagramPayload);
    reported.insert(reported.end(), report.in_flight.begin(), report.in_flight.end());
  }
  CHECK(reported == crash.in_flight);
}

TEST_CASE("a message on parts of another version is rejected") {
  std::string bytes = encodePartMessage({});
  bytes[1] = static_cast<char>(99);  // after the archive's flag of the byte order
  CHECK(decodePartMessage(bytes).has_error());
}

}  // namespace
}  // namespace quincewick::gateway
