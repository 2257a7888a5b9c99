#include "membership/round_robin.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace quincewick::membership {
namespace {

void shuffle(std::vector<NodeId>& ids, absl::BitGenRef random) {
  for (size_t remaining = ids.size(); remaining > 1; --remaining) {
    const size_t chosen = absl::Uniform<size_t>(random, 0, remaining);
    std::swap(ids[chosen], ids[remaining - 1]);
  }
}

}  // namespace

std::optional<NodeId> RoundRobin::next(const std::vector<NodeId>& candidates, absl::BitGenRef random) {
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

}  // namespace quincewick::membership
