// Why a request was turned away, and what its caller may do next.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string_view>

#include "types/error.h"

namespace quincewick::admission {

enum class RefusalReason : uint8_t {
  kTenantQueueFull,  // the tenant has as many requests waiting as it may
  kQueueFull,        // the node has as many requests waiting as it may
  kDisplaced,        // was waiting; a more urgent request, or one of a tenant below its share, took its place
  kDeadlineUnreachable,  // on arrival: the first token is not expected before the deadline
  kDeadlinePassed,       // was waiting; its first token can no longer come before the deadline
  kWaitedTooLong,        // was waiting longer than its class allows
  kTenantLimit,          // the tenant's shared limit is used up
  kLimitUnavailable,     // the home of the tenant's shared limit can't be reached
  kDuplicateId,          // a request with this id is already waiting or running
};

// The stable, lower-case name as used in JSON bodies, logs and metrics.
std::string_view refusalReasonName(RefusalReason reason);

// Which HTTP status fits: the tenant's own doing, or the whole node's.
enum class RefusalClass : uint8_t {
  kTenantOverLimit,  // 429
  kOverloaded,       // 503
  kInvalid,          // 400
};

RefusalClass refusalClass(RefusalReason reason);
int refusalHttpStatus(RefusalClass refusal_class);

// The final answer to a request that was not started. It is given as soon as the decision is made.
struct Refusal {
  RefusalReason reason = RefusalReason::kQueueFull;
  RefusalClass refusal_class = RefusalClass::kOverloaded;
  absl::Duration retry_after;  // when a new try is expected to be admitted; spread at random over callers
  Execution execution = Execution::kNotRun;
};

}  // namespace quincewick::admission
