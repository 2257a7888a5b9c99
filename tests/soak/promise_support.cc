#include "promise_support.h"

#include <algorithm>
#include <utility>

namespace quincewick::soak {

void addViolation(PromiseResult& result, std::string description, const std::string& attempt) {
  result.violations.push_back({std::move(description), {attempt}});
}

bool isDisturbed(const History& history, const std::string& gateway, absl::Time begin, absl::Time end,
                 bool include_planned) {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const Disturbance& disturbance) {
                       const bool concerns = disturbance.gateway.empty() || disturbance.gateway == gateway;
                       const bool counts = include_planned || !disturbance.is_planned;
                       return concerns && counts && disturbance.begin <= end && disturbance.end >= begin;
                     });
}

size_t countWithin(const std::vector<absl::Time>& times, absl::Time begin, absl::Duration width) {
  const auto first = std::lower_bound(times.begin(), times.end(), begin);
  return static_cast<size_t>(std::lower_bound(first, times.end(), begin + width) - first);
}

}  // namespace quincewick::soak
