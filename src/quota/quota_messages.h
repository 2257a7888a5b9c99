// Messages between gateways about limits. One datagram each, encoded by cereal.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "quota/rate_limit.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::quota {

enum class QuotaMessageKind : uint8_t {
  kRequestGrant = 1,  // request: may work of this cost start?
  kGrant = 2,         // response: it may start
  kDeny = 3,          // response: it may not; retry after `retry_after`
  kRefund = 4,        // the granted work never ran; no response
  kNotOwner = 5,      // response: a node that ranks before the sender is reachable and owns the limit
};

struct QuotaMessage {
  QuotaMessageKind kind = QuotaMessageKind::kRequestGrant;
  uint64_t number = 0;  // chosen by the requester; the response carries the same
  LimitName name;
  double cost = 0;  // in the limit's unit, computed by the requester's configuration; 0: liveness probe
  bool is_first_candidate = true;  // of a request: no other gateway was asked before
  absl::Duration retry_after;
};

std::string encodeQuotaMessage(const QuotaMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<QuotaMessage> decodeQuotaMessage(std::string_view bytes);

}  // namespace quincewick::quota
