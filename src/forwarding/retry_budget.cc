#include "forwarding/retry_budget.h"

namespace quincewick::forwarding {
namespace {

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

void RetryBudget::noteRequest(const ServiceName& service, absl::Time now) {
  current(service, now).requests.push_back(now);
}

double RetryBudget::left(const ServiceName& service, absl::Time now) {
  const Usage& usage = current(service, now);
  const double allowed =
      settings_.ratio * static_cast<double>(usage.requests.size()) + settings_.constant_share;
  return allowed - static_cast<double>(usage.repeats.size());
}

bool RetryBudget::tryRepeat(const ServiceName& service, absl::Time now) {
  if (left(service, now) < 1) {
    return false;
  }
  usage_[service].repeats.push_back(now);
  return true;
}

}  // namespace quincewick::forwarding
