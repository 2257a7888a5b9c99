#include "admission/hedge_policy.h"

#include <algorithm>

namespace quincewick::admission {
namespace {

bool mayBeHedged(const HedgeCandidate& candidate) {
  return candidate.repeatable && candidate.urgency == Urgency::kUrgent;
}

}  // namespace

std::optional<absl::Duration> HedgePolicy::onSent(const HedgeCandidate& candidate, absl::Time now) {
  if (!mayBeHedged(candidate)) {
    return std::nullopt;
  }
  budget_.recordRequest(now);
  const auto found = latencies_.find(candidate.kind);
  if (found == latencies_.end()) {
    return std::nullopt;
  }
  const std::optional<absl::Duration> delay = found->second.quantile(configuration_.quantile);
  if (!delay.has_value()) {
    return std::nullopt;
  }
  return std::max(*delay, configuration_.shortest_delay);
}

bool HedgePolicy::tryHedge(const HedgeCandidate& candidate, absl::Time now) {
  return mayBeHedged(candidate) && budget_.trySpend(now);
}

void HedgePolicy::onFirstToken(const RequestKind& kind, absl::Duration latency) {
  const bool known = latencies_.contains(kind);
  if (known || latencies_.size() < configuration_.maximum_kinds) {
    latencies_[kind].record(latency);
  }
}

}  // namespace quincewick::admission
