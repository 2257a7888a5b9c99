// What gateways tell each other about limits. One datagram each, encoded by cereal.
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
  kAsk = 1,       // may a request of that cost start?
  kGrant = 2,     // yes
  kDeny = 3,      // no, come back after `retry_after`
  kGiveBack = 4,  // what was granted never ran
  kNotOwner = 5,  // another one, which ranks before this one, lives and keeps the books
};

struct QuotaMessage {
  QuotaMessageKind kind = QuotaMessageKind::kAsk;
  uint64_t number = 0;  // of the asker; its answer bears the same
  LimitName name;
  double cost = 0;  // in the limit's unit, as the asker's configuration has it; 0: are you there?
  bool is_first_candidate = true;  // of a question: no other gateway was asked for the same request
  absl::Duration retry_after;
};

std::string encodeQuotaMessage(const QuotaMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<QuotaMessage> decodeQuotaMessage(std::string_view bytes);

}  // namespace quincewick::quota
