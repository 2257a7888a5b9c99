#include "quota/quota_messages.h"

#include <catch2/catch.hpp>
#include <limits>

namespace quincewick::quota {
namespace {

const QuotaMessage kDenial{QuotaMessageKind::kDeny, 7, LimitName("t"), 9190.5, false,
                           absl::Milliseconds(1234)};

TEST_CASE("a quota message round-trips, and truncated or extended bytes are rejected") {
  const std::string bytes = encodeQuotaMessage(kDenial);
  const auto read = decodeQuotaMessage(bytes);
  REQUIRE(read.has_value());
  CHECK(read.value().kind == kDenial.kind);
  CHECK(read.value().number == 7);
  CHECK(read.value().name == kDenial.name);
  CHECK(read.value().cost == 9190.5);
  CHECK_FALSE(read.value().is_first_candidate);
  CHECK(read.value().retry_after == kDenial.retry_after);
  for (size_t length = 0; length < bytes.size(); ++length) {
    CHECK(decodeQuotaMessage(bytes.substr(0, length)).has_error());
  }
  CHECK(decodeQuotaMessage(bytes + "x").has_error());
}

TEST_CASE("unknown kinds and invalid costs are rejected") {
  QuotaMessage message = kDenial;
  message.kind = static_cast<QuotaMessageKind>(9);
  CHECK(decodeQuotaMessage(encodeQuotaMessage(message)).has_error());
  message = kDenial;
  for (const double cost :
       {-1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
    message.cost = cost;
    CHECK(decodeQuotaMessage(encodeQuotaMessage(message)).has_error());
  }
}

}  // namespace
}  // namespace quincewick::quota
