// A quantile of latencies that fades with new ones.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <optional>

namespace quincewick::admission {

// A histogram of geometric buckets from 1 ms to about 10 minutes, each 10 % wider than the last. Old samples
// lose half their weight after kHalfLife new ones. A plain value without threads.
class LatencyQuantile {
 public:
  void record(absl::Duration latency);

  // The upper edge of the bucket with the quantile (0 to 1); nothing before kLeastSamples.
  std::optional<absl::Duration> quantile(double share) const;

 private:
  static constexpr size_t kBuckets = 140;
  static constexpr size_t kLeastSamples = 50;
  static constexpr size_t kHalfLife = 1000;

  std::array<float, kBuckets> weights_ = {};
  double total_ = 0;
  size_t samples_ = 0;
};

}  // namespace quincewick::admission
