#include "forwarding/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace quincewick::forwarding {
namespace {

// Nodes that there may be for each that is known: some join, and some were not heard of yet.
constexpr double kNodesUnknown = 1.6;

}  // namespace

void RetryBudget::noteNodes(size_t known) {
  most_nodes_known_ = std::max(most_nodes_known_, known);
}

double RetryBudget::capacity() const {
  if (most_nodes_known_ == 0) {
    return 0;
  }
  const double may_be = kNodesUnknown * static_cast<double>(most_nodes_known_);
  return settings_.constant / std::max(may_be, static_cast<double>(settings_.minimum_nodes));
}

RetryBudget::Bucket& RetryBudget::bucketOf(const ServiceName& service) {
  const auto [place, is_new] = buckets_.try_emplace(service);
  if (is_new && settings_.site_is_new) {
    place->second.held = capacity();
  }
  return place->second;
}

void RetryBudget::noteRequest(const ServiceName& service) {
  Bucket& bucket = bucketOf(service);
  bucket.held = std::min(bucket.held + settings_.ratio, capacity());
}

double RetryBudget::left(const ServiceName& service) const {
  const auto found = buckets_.find(service);
  return found == buckets_.end() ? 0 : std::min(found->second.held, capacity());
}

double RetryBudget::minimumLeft() const {
  const auto fewest = std::min_element(
      buckets_.begin(), buckets_.end(),
      [](const auto& one, const auto& other) { return one.second.held < other.second.held; });
  return fewest == buckets_.end() ? 0 : left(fewest->first);
}

bool RetryBudget::tryAcquireRetry(const ServiceName& service) {
  Bucket& bucket = bucketOf(service);
  bucket.held = std::min(bucket.held, capacity());
  if (bucket.held >= 1) {
    bucket.held -= 1;
    return true;
  }
  const bool never_holds_one = capacity() < 1;
  return never_holds_one && repeatsByFraction(bucket);
}

// Spends what the bucket holds. The sum of all that was spent so passes a whole number now and then.
bool RetryBudget::repeatsByFraction(Bucket& bucket) const {
  const double before = bucket.spent_in_fractions + rounding_phase_;
  bucket.spent_in_fractions += bucket.held;
  bucket.held = 0;
  return std::floor(bucket.spent_in_fractions + rounding_phase_) > std::floor(before);
}

}  // namespace quincewick::forwarding
