// A limit that holds over all gateways together: of a tenant, or of a server.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

#include "types/strong_id.h"

namespace quincewick::quota {

// Whose limit it is.
using LimitName = StrongString<struct LimitNameTag>;

enum class LimitUnit : uint8_t { kRequests, kTokens };

struct RateLimit {
  LimitUnit unit = LimitUnit::kRequests;
  double per_second = 0;            // in `unit`; more than 0
  double burst = 0;                 // in `unit`: may be used at once above the rate
  double tokens_if_undeclared = 1;  // what a request counts that declares no tokens

  friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

// How far the use of all gateways together may pass a limit within any window: the site's promise.
struct LimitTolerance {
  absl::Duration window = absl::Seconds(8);
  double overshoot = 0.1;  // part of what the limit allows in a window
  double slack = 0;        // in the limit's unit

  // In the limit's unit.
  double amountFor(const RateLimit& limit) const {
    const double allowed = limit.per_second * absl::ToDoubleSeconds(window) + limit.burst;
    return overshoot * allowed + slack;
  }
};

}  // namespace quincewick::quota
