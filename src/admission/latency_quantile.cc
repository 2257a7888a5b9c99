#include "admission/latency_quantile.h"

#include <algorithm>
#include <cmath>

namespace quincewick::admission {
namespace {

constexpr double kGrowth = 1.1;
constexpr double kSmallestMilliseconds = 1;

}  // namespace

void LatencyQuantile::record(absl::Duration latency) {
  const double ratio = std::max(1.0, absl::ToDoubleMilliseconds(latency) / kSmallestMilliseconds);
  const auto bucket = static_cast<size_t>(std::log(ratio) / std::log(kGrowth));
  weights_[std::min(bucket, kBuckets - 1)] += 1;
  total_ += 1;
  ++samples_;
  if (samples_ % kHalfLife != 0) {
    return;
  }
  constexpr float kHalf = 0.5;
  for (float& weight : weights_) {
    weight *= kHalf;
  }
  total_ *= kHalf;
}

std::optional<absl::Duration> LatencyQuantile::quantile(double share) const {
  if (samples_ < kLeastSamples) {
    return std::nullopt;
  }
  double below = 0;
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    below += weights_[bucket];
    if (below >= share * total_) {
      return absl::Milliseconds(kSmallestMilliseconds * std::pow(kGrowth, static_cast<double>(bucket + 1)));
    }
  }
  return absl::Milliseconds(kSmallestMilliseconds * std::pow(kGrowth, static_cast<double>(kBuckets)));
}

}  // namespace quincewick::admission
