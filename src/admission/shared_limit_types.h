// What the parts of the shared limits have in common.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <limits>
#include <variant>
#include <vector>

#include "admission/messages.h"
#include "admission/refusal.h"
#include "types/identifiers.h"

namespace quincewick::admission {

inline constexpr double kUnlimited = std::numeric_limits<double>::infinity();

// What a tenant may use on all nodes together.
struct TenantLimit {
  double tokens_per_second = kUnlimited;
  double requests_per_second = kUnlimited;
  double concurrent_requests = kUnlimited;

  bool unlimited() const {
    return tokens_per_second == kUnlimited && requests_per_second == kUnlimited &&
           concurrent_requests == kUnlimited;
  }
  friend bool operator==(const TenantLimit&, const TenantLimit&) = default;
};

using TenantLimits = absl::btree_map<TenantId, TenantLimit>;  // tenants that are absent are unlimited

// Times are the same on all nodes. A unit of a limit is used at most `burst` + `grant_lifetime` after it came
// up: together they are the most by which a limit can be exceeded, so keep them below 5 % of 10 s.
struct SharedLimitConfiguration {
  // Nodes that own a right, each the same part of every limit. At least the number of nodes that run.
  uint32_t node_count = 1;
  absl::Duration burst = absl::Milliseconds(150);
  absl::Duration grant_lifetime = absl::Milliseconds(250);
  // How long a node's right is lent to its zone's collector, and that of a collector to a home. A lost
  // collector or home is missed for as long.
  absl::Duration node_lease = absl::Seconds(4);
  absl::Duration zone_lease = absl::Seconds(2);
  absl::Duration renewal_interval = absl::Milliseconds(700);
  // No clock runs faster or slower than true time by more than this share.
  double drift_bound = 0.005;
  absl::Duration ask_timeout = absl::Milliseconds(150);  // then the home is asked again
  absl::Duration decision_timeout = absl::Seconds(1);    // then the request is refused
  absl::Duration report_interval = absl::Seconds(2);     // of permits in use
  // A node that was not heard of for so long has ended its requests.
  absl::Duration forget_permits_after = absl::Minutes(1);
  uint32_t maximum_waiting_per_tenant = 64;

  // How long the lessee, and how long the lessor counts a lease: the clocks' drift lies between.
  absl::Duration lesseeTime(absl::Duration lease) const { return lease * (1 - drift_bound); }
  absl::Duration lessorTime(absl::Duration lease) const { return lease * (1 + drift_bound); }
};

// Send the message to the node, which may be this one.
struct SendToPeer {
  NodeId to;
  LimitMessage message;
};

// The tenant's limit admits the request, or refuses it.
struct LimitDecision {
  RequestId id;
  bool allowed = false;
  Refusal refusal;  // when not allowed
};

using SharedLimitAction = std::variant<SendToPeer, LimitDecision>;
using SharedLimitActions = std::vector<SharedLimitAction>;

}  // namespace quincewick::admission
