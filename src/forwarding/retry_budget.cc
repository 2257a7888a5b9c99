#include "forwarding/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace quincewick::forwarding {
namespace {

// Assumed nodes for each known one, since some join and some have not been discovered yet.
constexpr double kUnknownNodesFactor = 1.6;

}  // namespace

void RetryBudget::noteNodes(size_t known) {
  max_known_nodes_ = std::max(max_known_nodes_, known);
}

double RetryBudget::capacity() const {
  if (max_known_nodes_ == 0) {
    return 0;
  }
  const double assumed_nodes = kUnknownNodesFactor * static_cast<double>(max_known_nodes_);
  return settings_.constant / std::max(assumed_nodes, static_cast<double>(settings_.minimum_nodes));
}

RetryBudget::Bucket& RetryBudget::bucketOf(const ServiceName& service) {
  const auto [place, is_new] = buckets_.try_emplace(service);
  if (is_new && settings_.site_is_new) {
    place->second.tokens = capacity();
  }
  return place->second;
}

void RetryBudget::noteRequest(const ServiceName& service) {
  Bucket& bucket = bucketOf(service);
  bucket.tokens = std::min(bucket.tokens + settings_.ratio, capacity());
}

double RetryBudget::left(const ServiceName& service) const {
  const auto found = buckets_.find(service);
  return found == buckets_.end() ? 0 : std::min(found->second.tokens, capacity());
}

double RetryBudget::minimumLeft() const {
  const auto fewest = std::min_element(
      buckets_.begin(), buckets_.end(),
      [](const auto& one, const auto& other) { return one.second.tokens < other.second.tokens; });
  return fewest == buckets_.end() ? 0 : left(fewest->first);
}

bool RetryBudget::tryAcquireRetry(const ServiceName& service) {
  Bucket& bucket = bucketOf(service);
  bucket.tokens = std::min(bucket.tokens, capacity());
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return true;
  }
  const bool is_capacity_below_one = capacity() < 1;
  return is_capacity_below_one && spendFraction(bucket);
}

// Spends the whole bucket. Returns whether the sum of all spent fractions reaches another integer.
bool RetryBudget::spendFraction(Bucket& bucket) const {
  const double before = bucket.spent_fractions + rounding_phase_;
  bucket.spent_fractions += bucket.tokens;
  bucket.tokens = 0;
  return std::floor(bucket.spent_fractions + rounding_phase_) > std::floor(before);
}

}  // namespace quincewick::forwarding
