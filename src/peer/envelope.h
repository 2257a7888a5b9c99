// What every message between nodes is wrapped in: who sent it, to which module, under which key.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::peer {

// The module of the receiver that a message is for.
enum class PeerModule : uint8_t {
  kMembership = 1,
  kConfiguration = 2,
  kLedger = 3,
  kFleet = 4,
  kLimits = 5,
  kRouting = 6,
  kOccupancy = 7,
  kCrashes = 8,
  kStagedRollouts = 9,
  kServerRates = 10,
  kDelegations = 11,
  kRejectionPermits = 12,
  kStreamOrigins = 13,
  kCrashingParts = 14,
};

// How a message travels. It is part of what the MAC covers, so none can be passed off as another.
enum class Channel : uint8_t { kDatagram = 1, kRequest = 2, kResponse = 3 };

// Names one of the site's keys.
using KeyId = StrongNumber<struct KeyIdTag>;

// The greatest datagram with its envelope, in bytes: it passes every link without fragments.
inline constexpr size_t kMaximumDatagramSize = 1200;
// The greatest payload of a datagram, in bytes.
inline constexpr size_t kMaximumDatagramPayload = 1080;
// The greatest body of a request or a response over HTTP, in bytes.
inline constexpr size_t kMaximumBodySize = size_t{4} * 1024 * 1024;
// The greatest id of a node, in bytes.
inline constexpr size_t kMaximumNodeIdSize = 63;
// The MAC's size, in bytes: HMAC-SHA-256, truncated to half.
inline constexpr size_t kMacSize = 16;

struct Envelope {
  PeerModule module = PeerModule::kMembership;
  NodeId sender;
  Incarnation sender_incarnation;  // of the sender's process
  KeyId key;
  Sequence sequence;  // rises with each message that the process sends on one channel
  std::string payload;
};

// Encodes all but the MAC: the header by cereal, then the payload as it is.
std::string encodeEnvelope(const Envelope& envelope);

// Decodes untrusted bytes without their MAC; kInvalidArgument when the header is malformed.
Result<Envelope> decodeEnvelope(std::string_view bytes);

}  // namespace quincewick::peer
