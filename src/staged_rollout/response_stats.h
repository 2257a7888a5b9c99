// What one gateway saw of the answers of a rollout's two versions since the rollout was asked for. Counts
// only rise, so that an account may be told again and again, to whoever decides now.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace quincewick::staged_rollout {

enum class Variant : uint8_t { kBaseline = 0, kTarget = 1 };

// Answers are compared with those of the same route under like load.
struct Stratum {
  uint64_t route = 0;       // the hash of its name
  bool is_crowded = false;  // the server had more than half of its slots taken, as far as known

  friend auto operator<=>(const Stratum&, const Stratum&) = default;  // NOLINT
};

inline constexpr size_t kLatencyBuckets = 32;
// The class of an answer's time: each class reaches 1.4 times as far as the one before, from 1 ms to 47 s.
size_t latencyBucketOf(absl::Duration time);

struct ResponseCounts {
  uint32_t answers = 0;                           // failures among them
  uint32_t failures = 0;                          // a server's own failure, or no whole answer
  std::array<uint32_t, kLatencyBuckets> times{};  // of whole answers

  void add(const ResponseCounts& more);
  // What this has more than an earlier account of the same process; all of it where that isn't so.
  ResponseCounts since(const ResponseCounts& earlier) const;
  // Answers in the classes behind this one.
  uint32_t slowerThan(size_t bucket) const;
  // The class of the median time; nothing (kLatencyBuckets) where there are none.
  size_t medianBucket() const;

  friend bool operator==(const ResponseCounts&, const ResponseCounts&) = default;
};

using CountsByStratum = absl::btree_map<Stratum, ResponseCounts>;

struct ResponseStats {
  CountsByStratum base;
  CountsByStratum target;

  CountsByStratum& of(Variant side) { return side == Variant::kBaseline ? base : target; }
  const CountsByStratum& of(Variant side) const { return side == Variant::kBaseline ? base : target; }
  void noteResponse(Variant side, const Stratum& stratum, absl::Duration took);
  void noteFailure(Variant side, const Stratum& stratum);
};

}  // namespace quincewick::staged_rollout
