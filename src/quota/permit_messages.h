// Messages between gateways about permits to send requests that a brittle server may reject. One datagram
// each, encoded by cereal.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "types/error.h"

namespace quincewick::quota {

enum class PermitMessageKind : uint8_t {
  kRequest = 1,    // may one request be sent to the server?
  kGrant = 2,      // response: it may; the permit carries the request's number
  kDeny = 3,       // response: no permit is free; retry after `retry_after`
  kUnneeded = 4,   // response: the server isn't brittle
  kNotHolder = 5,  // response: the sender holds no part of the server's permits
  kRenew = 6,      // the permit is still in use
  kRenewed = 7,    // response: it is held on
  kRelease = 8,    // the request was accepted or never sent: the permit is free; no response
  kRejected = 9,   // the request was, or may have been, rejected just now; no response
  kBrittle = 10,   // the server said that it stands `max_rejections`; no response
  kInquire = 11,   // like kRequest, but denied by a receiver that knows nothing of the server
};

struct PermitMessage {
  PermitMessageKind kind = PermitMessageKind::kRequest;
  uint64_t number = 0;          // chosen by the requester; identifies the request and its permit
  uint64_t server = 0;          // the server's identity hash
  uint32_t max_rejections = 0;  // a second, as the server told the requester; 0: it has told it nothing
  uint32_t renewal = 0;         // of a renewal and its response: counts those of the permit
  double share = 1;             // of a request: the fraction of the holder's part that it may use
  absl::Duration retry_after;
};

std::string encodePermitMessage(const PermitMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<PermitMessage> decodePermitMessage(std::string_view bytes);

}  // namespace quincewick::quota
