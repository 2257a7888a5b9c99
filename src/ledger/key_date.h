// The date that an idempotency key carries, if it carries one.
#pragma once

#include <absl/time/time.h>

#include <optional>

#include "types/identifiers.h"

namespace quincewick::ledger {

// A key that is a UUID of version 7 (RFC 9562) says when its caller made it. All other keys are undated.
std::optional<absl::Time> keyDate(const IdempotencyKey& key);

}  // namespace quincewick::ledger
