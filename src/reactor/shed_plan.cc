#include "reactor/shed_plan.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace quincewick::reactor {
namespace {

enum Urgency : int { kSmall, kLarge, kStalled };

// Greater ranks are closed first.
std::tuple<Urgency, double> rankOf(const ShedCandidate& candidate, absl::Time now) {
  const absl::Duration stall = now - candidate.progressed;
  if (stall >= kShedStall) {
    return {kStalled, static_cast<double>(candidate.bytes) * absl::ToDoubleSeconds(stall)};
  }
  if (candidate.bytes > BufferBudget::kSmallMessageBytes) {
    return {kLarge, absl::ToDoubleSeconds(candidate.began - absl::UnixEpoch())};
  }
  return {kSmall, static_cast<double>(candidate.bytes)};
}

std::vector<size_t> shedOrder(const std::vector<ShedCandidate>& candidates, absl::Time now) {
  std::vector<std::tuple<Urgency, double>> ranks;
  ranks.reserve(candidates.size());
  for (const ShedCandidate& candidate : candidates) {
    ranks.push_back(rankOf(candidate, now));
  }
  std::vector<size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(),
            [&ranks](size_t left, size_t right) { return ranks[left] > ranks[right]; });
  return order;
}

}  // namespace

std::vector<size_t> planShed(const std::vector<ShedCandidate>& candidates, const BufferBudget& budget,
                             size_t used, std::optional<size_t> growing, absl::Time now) {
  std::vector<size_t> closed;
  for (const size_t index : shedOrder(candidates, now)) {
    const size_t bytes = candidates[index].bytes;
    if (used <= budget.limitFor(bytes)) {
      continue;
    }
    closed.push_back(index);
    used -= std::min(used, bytes);
    if (index == growing) {
      break;
    }
  }
  return closed;
}

}  // namespace quincewick::reactor
