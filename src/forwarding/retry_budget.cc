#include "forwarding/retry_budget.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace quincewick::forwarding {
namespace {

constexpr double kNodesUnknown = 1.6;  // nodes that there may be for each that is known
constexpr double kShareAtStart = 0.5;

void dropBefore(std::deque<absl::Time>& times, absl::Time start) {
  while (!times.empty() && times.front() < start) {
    times.pop_front();
  }
}

}  // namespace

RetryBudget::Usage& RetryBudget::current(const ServiceName& service, absl::Time now) {
  Usage& usage = usage_[service];
  dropBefore(usage.requests, now - settings_.window);
  dropBefore(usage.repeats, now - settings_.window);
  return usage;
}

void RetryBudget::noteNodes(size_t known, absl::Time now) {
  if (most_nodes_known_ == 0) {
    first_window_ends_ = now + settings_.window;
  }
  most_nodes_known_ = std::max(most_nodes_known_, known);
}

double RetryBudget::constantPart(absl::Time now) const {
  if (most_nodes_known_ == 0) {
    return 0;
  }
  const double may_be = kNodesUnknown * static_cast<double>(most_nodes_known_);
  const double share = settings_.constant / std::max(may_be, static_cast<double>(settings_.fewest_nodes));
  const double at_start = kShareAtStart * settings_.constant / may_be;
  return now < first_window_ends_ ? std::min(share, at_start) : share;
}

void RetryBudget::noteRequest(const ServiceName& service, absl::Time now) {
  current(service, now).requests.push_back(now);
}

double RetryBudget::left(const ServiceName& service, absl::Time now) {
  const Usage& usage = current(service, now);
  const double allowed = settings_.ratio * static_cast<double>(usage.requests.size()) + constantPart(now);
  return allowed - static_cast<double>(usage.repeats.size());
}

double RetryBudget::fewestLeft(absl::Time now) {
  std::vector<ServiceName> services;
  for (const auto& [service, usage] : usage_) {
    services.push_back(service);
  }
  double fewest = services.empty() ? 0 : std::numeric_limits<double>::infinity();
  for (const ServiceName& service : services) {
    fewest = std::min(fewest, left(service, now));
  }
  return fewest;
}

bool RetryBudget::tryRepeat(const ServiceName& service, absl::Time now) {
  if (left(service, now) < 1) {
    return false;
  }
  usage_[service].repeats.push_back(now);
  return true;
}

}  // namespace quincewick::forwarding
