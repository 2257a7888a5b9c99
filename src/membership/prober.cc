#include "membership/prober.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace quincewick::membership {
namespace {

constexpr uint32_t kMaximumFailuresInARow = 3;

void shuffle(std::vector<NodeId>& ids, absl::BitGenRef random) {
  for (size_t remaining = ids.size(); remaining > 1; --remaining) {
    const size_t chosen = absl::Uniform<size_t>(random, 0, remaining);
    std::swap(ids[chosen], ids[remaining - 1]);
  }
}

}  // namespace

std::optional<NodeId> Prober::nextTarget(const std::vector<NodeId>& candidates, absl::BitGenRef random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  while (!round_.empty()) {
    NodeId next = std::move(round_.back());
    round_.pop_back();
    if (std::find(candidates.begin(), candidates.end(), next) != candidates.end()) {
      return next;
    }
  }
  round_ = candidates;
  shuffle(round_, random);
  NodeId next = std::move(round_.back());
  round_.pop_back();
  return next;
}

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
