// A rate limit of a tenant or a server that holds over all gateways together.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

#include "types/strong_id.h"

namespace quincewick::quota {

// Identifies whose limit it is.
using LimitName = StrongString<struct LimitNameTag>;

enum class LimitUnit : uint8_t { kRequests, kTokens };

struct RateLimit {
  LimitUnit unit = LimitUnit::kRequests;
  double per_second = 0;            // in `unit`; more than 0
  double burst = 0;                 // in `unit`; allowed at once in addition to the rate
  double tokens_if_undeclared = 1;  // cost of a request that declares no tokens

  friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

// How far all gateways together may exceed a limit within any window: the bound that the site guarantees.
struct LimitTolerance {
  absl::Duration window = absl::Seconds(8);
  double overshoot = 0.1;  // fraction of what the limit allows in a window
  double slack = 0;        // in the limit's unit

  // Allowed excess in a window, in the limit's unit.
  double amountFor(const RateLimit& limit) const {
    const double allowed = limit.per_second * absl::ToDoubleSeconds(window) + limit.burst;
    return overshoot * allowed + slack;
  }
};

}  // namespace quincewick::quota
