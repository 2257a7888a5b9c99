#include "membership/messages.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace quincewick::membership {
namespace {

std::string anyName() {
  const auto size = *rc::gen::inRange<size_t>(1, kMaximumNameSize + 1);
  return *rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
}

MemberRecord anyRecord() {
  return {NodeId(anyName()),
          ZoneName(anyName()),
          RegionName(anyName()),
          Address{anyName(), *rc::gen::arbitrary<uint16_t>()},
          Incarnation(*rc::gen::inRange<uint64_t>(0, uint64_t{1} << 62)),
          static_cast<MemberState>(*rc::gen::inRange(0, 6))};
}

MessageBody anyBody() {
  const auto number = *rc::gen::arbitrary<uint32_t>();
  switch (*rc::gen::inRange(0, 7)) {
    case 0:
      return Probe{number, NodeId(anyName())};
    case 1:
      return ProbeAnswer{number, NodeId()};
    case 2:
      return IndirectProbe{number, anyRecord()};
    case 3:
      return IndirectAnswer{number, NodeId(anyName())};
    case 4:
      return ZoneDigests{{{ZoneName(anyName()), number}, {ZoneName(anyName()), 1}}, true};
    case 5:
      return ZonePage{ZoneName(anyName()), NodeId(anyName()), NodeId()};
    default:
      return PayloadUpdate{
          {Incarnation(3), number,
           *rc::gen::container<std::string>(kMaximumPayloadSize, rc::gen::arbitrary<char>())}};
  }
}

Message anyMessage() {
  Message message;
  message.body = anyBody();
  message.sender = anyRecord();
  message.view_digest = *rc::gen::arbitrary<uint64_t>();
  message.beats = {{ZoneName(anyName()), 7}};
  message.updates = {anyRecord()};
  return message;
}

TEST_CASE("every message comes back from its bytes, and the sizes add up") {
  rc::prop("round trip", [] {
    Message message = anyMessage();
    const std::string bytes = encodeMessage(message);
    const Result<Message> decoded = decodeMessage(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encodeMessage(decoded.value()) == bytes);
    RC_ASSERT(decoded.value().body.index() == message.body.index());
    if (!std::holds_alternative<PayloadUpdate>(message.body)) {
      RC_ASSERT(decoded.value().sender == message.sender);
      RC_ASSERT(decoded.value().updates == message.updates);
      const MemberRecord more = anyRecord();
      message.updates.push_back(more);
      message.beats.push_back({more.zone, 1});
      RC_ASSERT(encodeMessage(message).size() ==
                bytes.size() + encodedSize(more) + encodedSize(message.beats.back()));
    }
  });
}

TEST_CASE("cut, lengthened and damaged messages are refused or decode to something well-formed") {
  rc::prop("no damage does harm", [](const std::string& garbage) {
    const std::string bytes = encodeMessage(anyMessage());
    RC_ASSERT(!decodeMessage(bytes.substr(0, *rc::gen::inRange<size_t>(0, bytes.size()))));
    RC_ASSERT(!decodeMessage(bytes + "x"));
    RC_ASSERT(!decodeMessage(std::string(kMaximumMessageSize + 1, 'x')));
    std::string damaged = bytes;
    damaged[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    for (const std::string& input : {damaged, garbage}) {
      const Result<Message> decoded = decodeMessage(input);
      if (decoded) {
        RC_ASSERT(decodeMessage(encodeMessage(decoded.value())).has_value());
      }
    }
  });
}

}  // namespace
}  // namespace quincewick::membership
