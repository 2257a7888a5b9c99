// Limit messages survive encoding, and decoding survives any bytes.
#include "admission/messages.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace quincewick::admission {
namespace {

LimitMessage anyMessage() {
  const uint64_t sequence = *rc::gen::arbitrary<uint64_t>();
  SlotSet slots;
  slots.insert(*rc::gen::inRange<uint32_t>(0, kLimitSlots));
  const TenantId tenant(*rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
  const auto number = *rc::gen::arbitrary<uint16_t>();
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return LimitAskBatch{sequence, {LimitAsk{tenant, number, number, number, number, number}}};
    case 1:
      return LimitGrantBatch{sequence, {LimitGrant{tenant, number, number, number, number}}};
    case 2:
      return RightsRequest{RightsLevel::kZone, true, sequence, slots};
    case 3:
      return RightsLease{RightsLevel::kNode, sequence, slots, number};
    default:
      return RightsRelease{sequence, slots};
  }
}

TEST_CASE("limit messages are read back as written; damaged ones are errors or read as something else") {
  rc::prop("round trip, truncation and damage", [] {
    const LimitMessage message = anyMessage();
    const std::string bytes = encodeLimitMessage(message);
    const Result<LimitMessage> decoded = decodeLimitMessage(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encodeLimitMessage(decoded.value()) == bytes);
    const auto cut = *rc::gen::inRange<size_t>(0, bytes.size());
    RC_ASSERT(decodeLimitMessage(bytes.substr(0, cut)).has_error());
    RC_ASSERT(decodeLimitMessage(bytes + "x").has_error());
    std::string damaged = bytes;
    damaged[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    const Result<LimitMessage> other = decodeLimitMessage(damaged);
    if (other.has_value()) {
      RC_ASSERT(encodeLimitMessage(other.value()).size() == bytes.size());
    }
  });
  CHECK(decodeLimitMessage("").has_error());
}

}  // namespace
}  // namespace quincewick::admission
