#include "staged_rollout/response_stats.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace quincewick::staged_rollout {
namespace {

constexpr double kBucketRatio = 1.4;

}  // namespace

size_t latencyBucketOf(absl::Duration time) {
  const double milliseconds = std::max(absl::ToDoubleMilliseconds(time), 1.0);
  const double place = std::ceil(std::log(milliseconds) / std::log(kBucketRatio));
  return std::min(static_cast<size_t>(place), kLatencyBuckets - 1);
}

void ResponseCounts::add(const ResponseCounts& more) {
  answers += more.answers;
  failures += more.failures;
  std::transform(times.begin(), times.end(), more.times.begin(), times.begin(), std::plus<>());
}

ResponseCounts ResponseCounts::since(const ResponseCounts& earlier) const {
  bool is_later = answers >= earlier.answers && failures >= earlier.failures;
  for (size_t index = 0; index < kLatencyBuckets; ++index) {
    is_later = is_later && times[index] >= earlier.times[index];
  }
  if (!is_later) {
    return *this;
  }
  ResponseCounts more;
  more.answers = answers - earlier.answers;
  more.failures = failures - earlier.failures;
  std::transform(times.begin(), times.end(), earlier.times.begin(), more.times.begin(), std::minus<>());
  return more;
}

uint32_t ResponseCounts::slowerThan(size_t bucket) const {
  const size_t first = std::min(bucket + 1, kLatencyBuckets);
  return std::accumulate(times.begin() + static_cast<ptrdiff_t>(first), times.end(), 0U);
}

size_t ResponseCounts::medianBucket() const {
  const uint32_t whole = std::accumulate(times.begin(), times.end(), 0U);
  uint32_t seen = 0;
  for (size_t index = 0; index < kLatencyBuckets && whole > 0; ++index) {
    seen += times[index];
    if (2 * seen >= whole) {
      return index;
    }
  }
  return kLatencyBuckets;
}

void ResponseStats::noteResponse(Variant variant, const Stratum& stratum, absl::Duration took) {
  ResponseCounts& counts = of(variant)[stratum];
  ++counts.answers;
  ++counts.times[latencyBucketOf(took)];
}

void ResponseStats::noteFailure(Variant variant, const Stratum& stratum) {
  ResponseCounts& counts = of(variant)[stratum];
  ++counts.answers;
  ++counts.failures;
}

}  // namespace quincewick::staged_rollout
