#include "gateway/delegation_messages.h"

#include <catch2/catch.hpp>

#include "types/bounded_archive.h"

namespace quincewick::gateway {
namespace {

DelegatedRequest request() {
  DelegatedRequest request;
  request.method = "POST";
  request.target = "/a";
  request.fields = {{"Host", "h"}};
  request.body = "body";
  request.service = forwarding::ServiceName("pool");
  request.elapsed = absl::Milliseconds(5);
  request.time_left = absl::Seconds(1);
  request.last_event_id = "7";
  return request;
}

TEST_CASE("a delegated request keeps the software version that its stream is bound to") {
  for (const auto& software : {std::optional<SoftwareVersion>(), std::optional(SoftwareVersion("v2")),
                               std::optional(SoftwareVersion())}) {
    DelegatedRequest sent = request();
    sent.asks_for_software = true;
    sent.software = software;
    const auto read = decodeDelegatedRequest(encodeDelegatedRequest(sent));
    REQUIRE(read.has_value());
    CHECK(read.value().asks_for_software);
    CHECK(read.value().software == software);
    CHECK(read.value().last_event_id == "7");
    CHECK(read.value().time_left == absl::Seconds(1));
  }
}

// Earlier builds know the first version only, in which nothing follows the times.
TEST_CASE("a delegated request that asks for no software version is one that earlier builds read") {
  const std::string plain = encodeDelegatedRequest(request());
  const auto read = decodeDelegatedRequest(plain);
  REQUIRE(read.has_value());
  CHECK_FALSE(read.value().asks_for_software);
  CHECK_FALSE(read.value().software.has_value());
  DelegatedRequest asking = request();
  asking.asks_for_software = true;
  CHECK(encodeDelegatedRequest(asking).size() > plain.size());
  CHECK(encodeDelegatedRequest(asking)[1] != plain[1]);
}

TEST_CASE("a delegation's report has a software version only if one is known") {
  const auto whole =
      decodeDelegationReport(encodeDelegationReport({DelegationOutcome::kServed, SoftwareVersion("v2")}));
  REQUIRE(whole.has_value());
  CHECK(whole.value().software == SoftwareVersion("v2"));
  const auto plain =
      decodeDelegationReport(encodeDelegationReport({DelegationOutcome::kDeclined, std::nullopt}));
  REQUIRE(plain.has_value());
  CHECK(plain.value().outcome == DelegationOutcome::kDeclined);
  CHECK_FALSE(plain.value().software.has_value());
}

TEST_CASE("malformed delegation messages are rejected") {
  CHECK(decodeDelegationReport("").has_error());
  CHECK(decodeDelegationReport(encodeArchive(uint8_t{9})).has_error());
  const std::string sound = encodeDelegatedRequest(request());
  for (size_t size = 0; size < sound.size(); ++size) {
    CHECK(decodeDelegatedRequest(sound.substr(0, size)).has_error());
  }
}

}  // namespace
}  // namespace quincewick::gateway
