// Takes back ends that do worse than their group out of service for a while.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "types/identifiers.h"

namespace quincewick::admission {

struct OutlierConfiguration {
  absl::Duration interval = absl::Seconds(5);  // back ends are judged once in this time
  uint32_t least_requests = 20;                // fewer in an interval are not judged
  double worse_by = 0.2;               // ejected when its failure share exceeds the group's median by this
  double slower_by = 3;                // ... or its mean latency is this many times the group's median
  uint32_t failures_in_a_row = 8;      // ejected at once
  double largest_ejected_share = 0.2;  // of the group; one may always be ejected if the group has two or more
  absl::Duration ejection_time = absl::Seconds(5);
  absl::Duration longest_ejection_time = absl::Minutes(5);  // it doubles with each ejection
  uint32_t probes = 3;  // requests that a back end is tried with after its ejection; all must succeed
};

// One for each group of back ends on a node. A plain value without threads. Deterministic in its inputs.
class OutlierDetector {
 public:
  explicit OutlierDetector(const OutlierConfiguration& configuration) : configuration_(configuration) {}

  // The back ends of the group. What was learnt of those that stay is kept.
  void setGroup(const std::vector<BackEndId>& group);

  // A request ended at the back end; no latency when it failed.
  void record(const BackEndId& back_end, std::optional<absl::Duration> latency, absl::Time now);

  // May the back end be given a request? A probe is counted by probeSent().
  bool accepts(const BackEndId& back_end, absl::Time now) const;
  // The request that accepts() allowed was sent.
  void probeSent(const BackEndId& back_end, absl::Time now);

  // Back ends out of service or on probation.
  size_t ejected() const;

 private:
  enum class Health : uint8_t { kHealthy, kEjected };
  struct Record {
    Health health = Health::kHealthy;
    absl::Time ejected_until = absl::InfinitePast();
    absl::Time probe_sent = absl::InfinitePast();
    uint32_t ejections = 0;  // lately: doubles the time
    uint32_t probes_sent = 0;
    uint32_t probes_succeeded = 0;
    uint32_t failures_in_a_row = 0;
    uint32_t requests = 0;
    uint32_t failures = 0;
    absl::Duration latency_sum;
  };

  void recordProbe(Record& record, bool success, absl::Time now);
  void judge(absl::Time now);
  bool isOutlier(const Record& record, double median_failures, absl::Duration median_latency) const;
  void eject(Record& record, absl::Time now);
  bool mayEjectOneMore() const;

  OutlierConfiguration configuration_;
  absl::btree_map<BackEndId, Record> records_;
  absl::Time last_judged_ = absl::InfinitePast();
};

}  // namespace quincewick::admission
