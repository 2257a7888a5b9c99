// The datagrams of the membership protocol and their codec (cereal, portable binary).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "membership/member.h"
#include "types/error.h"

namespace quincewick::membership {

// The greatest encoded message: with the envelope's overhead a datagram stays within 1,200 bytes.
inline constexpr size_t kMaximumMessageSize = 1080;
// The greatest identifier, zone, region or host name in a message, in bytes.
inline constexpr size_t kMaximumNameSize = 63;
// The bytes of zone beats put into a message at most.
inline constexpr size_t kBeatsByteBudget = 256;
// The bytes of zone digests put into a message at most.
inline constexpr size_t kDigestsByteBudget = 512;
// The greatest number of records in a message.
inline constexpr size_t kMaximumUpdates = 255;

// Asks for an answer. `on_behalf_of` names the node that wants to know, if not the sender.
struct Probe {
  uint32_t sequence = 0;
  NodeId on_behalf_of;
};

// Answers a probe, echoing its fields.
struct ProbeAnswer {
  uint32_t sequence = 0;
  NodeId on_behalf_of;
};

// Asks the receiver to probe `target` and to pass its answer on.
struct IndirectProbe {
  uint32_t sequence = 0;
  MemberRecord target;
};

// Tells the node that asked by IndirectProbe that the target has answered.
struct IndirectAnswer {
  uint32_t sequence = 0;
  NodeId target;
};

// Carries only news.
struct Gossip {};

// A delegate's regular greeting to another zone.
struct Exchange {};

// The view of one zone as one number. Equal digests mean equal views, but for suspicions.
struct ZoneDigest {
  ZoneName zone;
  uint64_t digest = 0;

  friend bool operator==(const ZoneDigest&, const ZoneDigest&) = default;
};

// Opens a comparison of views: the receiver sends pages of the zones where its own digest differs.
struct ZoneDigests {
  std::vector<ZoneDigest> zones;
  bool complete = false;  // all zones that the sender knows are there; else others say nothing
};

// The sender's whole knowledge of the ids in (after, up_to] of the zone, as the message's updates; an empty
// `up_to` is unbounded. The receiver sends back what is newer or unknown to the sender.
struct ZonePage {
  ZoneName zone;
  NodeId after;
  NodeId up_to;
};

// The sender's payload, to members of its zone.
struct PayloadUpdate {
  MemberPayload payload;
};

using MessageBody = std::variant<Probe, ProbeAnswer, IndirectProbe, IndirectAnswer, Gossip, Exchange,
                                 ZoneDigests, ZonePage, PayloadUpdate>;

// A counter that a zone's delegates raise; while it rises, the zone can be reached.
struct ZoneBeat {
  ZoneName zone;
  uint32_t beat = 0;

  friend bool operator==(const ZoneBeat&, const ZoneBeat&) = default;
};

// One datagram. A PayloadUpdate carries nothing besides its body and the sender's id.
struct Message {
  MemberRecord sender;          // the sender's claim about itself
  uint64_t view_digest = 0;     // of all zones
  std::vector<ZoneBeat> beats;  // in the zone: of all zones; between zones: of the sender's own
  std::vector<MemberRecord> updates;
  MessageBody body;
};

// Encodes a message. Names must be at most kMaximumNameSize; the caller keeps the whole within
// kMaximumMessageSize with the help of encodedSize().
std::string encodeMessage(const Message& message);

// Decodes untrusted bytes; kInvalidArgument when they are not exactly one well-formed message.
Result<Message> decodeMessage(std::string_view bytes);

// The bytes that a record takes in a message.
size_t encodedSize(const MemberRecord& record);
// The bytes that a beat takes in a message.
size_t encodedSize(const ZoneBeat& beat);

// True when all names of the record fit into a message and none that must be there is empty.
bool isEncodable(const MemberRecord& record);

}  // namespace quincewick::membership
