#include "membership/prober.h"

#include <algorithm>

namespace quincewick::membership {
namespace {

constexpr uint32_t kMaximumFailuresInARow = 3;

}  // namespace

uint32_t Prober::start(const NodeId& target, absl::Time now) {
  ++last_sequence_;
  outstanding_.push_back({target, last_sequence_, now, false});
  return last_sequence_;
}

void Prober::answer(uint32_t sequence, const NodeId& target) {
  const size_t erased = std::erase_if(outstanding_, [&](const OutstandingProbe& probe) {
    return probe.sequence == sequence && probe.target == target;
  });
  if (erased > 0) {
    failures_in_a_row_ = 0;
  }
}

std::vector<OutstandingProbe> Prober::takeOverdue(absl::Time now, absl::Duration timeout) {
  std::vector<OutstandingProbe> overdue;
  for (OutstandingProbe& probe : outstanding_) {
    if (!probe.indirect_sent && now - probe.started_at >= timeout) {
      probe.indirect_sent = true;
      overdue.push_back(probe);
    }
  }
  return overdue;
}

std::vector<OutstandingProbe> Prober::takeExpired(absl::Time now, absl::Duration timeout) {
  std::vector<OutstandingProbe> expired;
  std::erase_if(outstanding_, [&](const OutstandingProbe& probe) {
    if (now - probe.started_at < timeout) {
      return false;
    }
    expired.push_back(probe);
    return true;
  });
  if (!expired.empty()) {
    failures_in_a_row_ = std::min(failures_in_a_row_ + 1, kMaximumFailuresInARow);
  }
  return expired;
}

}  // namespace quincewick::membership
