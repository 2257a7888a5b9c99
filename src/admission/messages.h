// The messages by which nodes share tenants' limits. All are small; a batch goes to one peer.
#pragma once

#include <absl/time/time.h>

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/limit_slots.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::admission {

// A node asks the home of a tenant's limit for a part of it. Also the report of what is in use.
struct LimitAsk {
  TenantId tenant;
  uint32_t tokens = 0;          // wanted
  uint32_t minimum_tokens = 0;  // fewer are of no use: the next request needs this many
  uint16_t requests = 0;        // wanted
  uint16_t permits = 0;         // wanted, of the limit on concurrent requests
  uint16_t in_use = 0;          // permits that the asking node holds now
};

// Asks of one node under one number. A home answers numbers that rise and drops all others.
struct LimitAskBatch {
  uint64_t sequence = 0;
  std::vector<LimitAsk> asks;
};

// The answer to one ask. What is granted lapses a fixed time after the ask was sent, by the asker's clock.
struct LimitGrant {
  TenantId tenant;
  uint32_t tokens = 0;
  uint16_t requests = 0;
  uint16_t permits = 0;
  uint32_t retry_after_milliseconds = 0;  // when less was granted than wanted: when to ask again
};

struct LimitGrantBatch {
  uint64_t sequence = 0;  // of the asks
  std::vector<LimitGrant> grants;
};

// Who is asked for rights: a node for its own, or a zone's collector for all that it has collected.
enum class RightsLevel : uint8_t { kNode, kZone };

// Asks for a lease of rights to give out limits. `renewal` counts for kNode only, `slots` for kZone only.
struct RightsRequest {
  RightsLevel level = RightsLevel::kNode;
  bool renewal = false;   // the sender holds a lease of this right that has not ended
  uint64_t sequence = 0;  // rises with each request and release of the sender
  SlotSet slots;
};

// The answer: `rights` nodes' rights for each of the slots. The lease ends a fixed time after the request was
// sent, by the lessee's clock.
struct RightsLease {
  RightsLevel level = RightsLevel::kNode;
  uint64_t sequence = 0;  // of the request
  SlotSet slots;
  uint16_t rights = 0;
};

// The sender no longer uses what it leased for these slots.
struct RightsRelease {
  uint64_t sequence = 0;
  SlotSet slots;
};

using LimitMessage = std::variant<LimitAskBatch, LimitGrantBatch, RightsRequest, RightsLease, RightsRelease>;

// Portable binary bytes of the message. Tenant names must be shorter than 256 bytes.
std::string encodeLimitMessage(const LimitMessage& message);

// The inverse. Fails with kInvalidArgument for anything that encodeLimitMessage would not make.
Result<LimitMessage> decodeLimitMessage(std::string_view bytes);

}  // namespace quincewick::admission
