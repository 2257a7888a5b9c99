#include "promise_support.h"

#include <algorithm>
#include <utility>

namespace quincewick::soak {

void addViolation(PromiseResult& result, std::string what, const std::string& attempt) {
  result.violations.push_back({std::move(what), {attempt}});
}

bool isDisturbed(const History& history, const std::string& gateway, absl::Time begin, absl::Time end,
                 bool planned_too) {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const Disturbance& disturbance) {
                       const bool concerns = disturbance.gateway.empty() || disturbance.gateway == gateway;
                       const bool counts = planned_too || !disturbance.is_planned;
                       return concerns && counts && disturbance.begin <= end && disturbance.end >= begin;
                     });
}

size_t within(const std::vector<absl::Time>& times, absl::Time begin, absl::Duration width) {
  const auto first = std::lower_bound(times.begin(), times.end(), begin);
  return static_cast<size_t>(std::lower_bound(first, times.end(), begin + width) - first);
}

}  // namespace quincewick::soak
