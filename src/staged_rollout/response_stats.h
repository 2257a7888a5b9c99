// One gateway's response counts for both versions of a rollout since the rollout was requested. Counts only
// rise, so the stats can be reported repeatedly, to whichever gateway holds the rollout's lease.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace quincewick::staged_rollout {

enum class Variant : uint8_t { kBaseline = 0, kTarget = 1 };

// Responses are compared with those of the same route under similar load.
struct Stratum {
  uint64_t route = 0;       // the hash of its name
  bool is_crowded = false;  // more than half of the server's slots were occupied, as far as known

  friend auto operator<=>(const Stratum&, const Stratum&) = default;  // NOLINT
};

inline constexpr size_t kLatencyBuckets = 32;
// Returns the histogram bucket of a response time. Each bucket's upper bound is 1.4 times the one before,
// from 1 ms to 47 s.
size_t latencyBucketOf(absl::Duration time);

struct ResponseCounts {
  uint32_t answers = 0;                           // including failures
  uint32_t failures = 0;                          // a failure of the server, or an incomplete response
  std::array<uint32_t, kLatencyBuckets> times{};  // complete responses by latency bucket

  void add(const ResponseCounts& more);
  // Returns the increase since `earlier` of the same process; everything if `earlier` is of another process.
  ResponseCounts since(const ResponseCounts& earlier) const;
  // Complete responses in slower buckets than this one.
  uint32_t slowerThan(size_t bucket) const;
  // The bucket of the median time; kLatencyBuckets if there are no complete responses.
  size_t medianBucket() const;

  friend bool operator==(const ResponseCounts&, const ResponseCounts&) = default;
};

using CountsByStratum = absl::btree_map<Stratum, ResponseCounts>;

struct ResponseStats {
  CountsByStratum base;
  CountsByStratum target;

  CountsByStratum& of(Variant variant) { return variant == Variant::kBaseline ? base : target; }
  const CountsByStratum& of(Variant variant) const { return variant == Variant::kBaseline ? base : target; }
  void noteResponse(Variant variant, const Stratum& stratum, absl::Duration took);
  void noteFailure(Variant variant, const Stratum& stratum);
};

}  // namespace quincewick::staged_rollout
