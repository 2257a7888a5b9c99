// The record of one action's claim, as kept in the platform's table.
#pragma once

#include <optional>
#include <string>

#include "engine/action_channel.h"
#include "types/error.h"
#include "types/identifiers.h"
#include "types/platform.h"

namespace quincewick::node {

// Claimed before the action is sent; the reply is added after.
struct ActionClaim {
  std::string body_hash;  // of the request's body: the same key with another body is a conflict
  RequestId claimant;     // the request that may send the action
  std::optional<engine::ActionReply> reply;
};

// The table key of a tenant's idempotency key; distinct for distinct pairs.
std::string actionClaimKey(const TenantId& tenant, const RequestKind& kind, const IdempotencyKey& key);

std::string encodeActionClaim(const ActionClaim& claim);
Result<ActionClaim> decodeActionClaim(const std::string& text);

}  // namespace quincewick::node
