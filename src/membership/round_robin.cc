#include "membership/round_robin.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
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
  admitNewcomers(candidates, random);
  while (!round_.empty()) {
    NodeId next = std::move(round_.back());
    round_.pop_back();
    if (std::binary_search(candidates.begin(), candidates.end(), next)) {
      return next;
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  round_ = candidates;
  shuffle(round_, random);
  NodeId next = std::move(round_.back());
  round_.pop_back();
  return next;
}

void RoundRobin::admitNewcomers(const std::vector<NodeId>& candidates, absl::BitGenRef random) {
  if (candidates == known_) {
    return;
  }
  std::vector<NodeId> newcomers;
  std::set_difference(candidates.begin(), candidates.end(), known_.begin(), known_.end(),
                      std::back_inserter(newcomers));
  for (NodeId& newcomer : newcomers) {
    const size_t place = absl::Uniform(absl::IntervalClosed, random, size_t{0}, round_.size());
    round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(place), std::move(newcomer));
  }
  known_ = candidates;
}

}  // namespace quincewick::membership
