// Decides when a request that is late for its kind is sent a second time, to another back end.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>

#include "admission/latency_quantile.h"
#include "admission/retry_budget.h"
#include "types/identifiers.h"
#include "types/urgency.h"

namespace quincewick::admission {

struct HedgeConfiguration {
  double quantile = 0.95;  // of the kind's times to first token: the delay before a hedge
  absl::Duration shortest_delay = absl::Milliseconds(20);
  RetryBudgetConfiguration budget = {0.03, 0.2, absl::Seconds(10)};
  size_t maximum_kinds = 1024;  // kinds remembered; requests of further kinds are not hedged
};

// What a hedge depends on.
struct HedgeCandidate {
  RequestKind kind;
  Urgency urgency = Urgency::kStandard;
  bool repeatable = false;  // running it twice does no harm
};

// One for each group of back ends on a node. Only urgent, repeatable requests are hedged, only once, and only
// within the budget. A plain value without threads.
class HedgePolicy {
 public:
  explicit HedgePolicy(const HedgeConfiguration& configuration)
      : configuration_(configuration), budget_(configuration.budget) {}

  // A request was sent. Returns how long to wait for its first token before asking tryHedge(); nothing when
  // it must not be hedged.
  std::optional<absl::Duration> onSent(const HedgeCandidate& candidate, absl::Time now);

  // The delay has passed without a first token: may the second try be sent? Spends budget when it says yes.
  bool tryHedge(const HedgeCandidate& candidate, absl::Time now);

  // The first token of a request came, by whichever try, so long after the first try was sent.
  void onFirstToken(const RequestKind& kind, absl::Duration latency);

 private:
  HedgeConfiguration configuration_;
  RetryBudget budget_;
  absl::btree_map<RequestKind, LatencyQuantile> latencies_;
};

}  // namespace quincewick::admission
