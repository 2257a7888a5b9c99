// Whom to probe next, and which probes still wait for an answer.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "membership/round_robin.h"
#include "types/identifiers.h"

namespace quincewick::membership {

struct OutstandingProbe {
  NodeId target;
  uint32_t sequence = 0;
  absl::Time started_at;
  bool indirect_sent = false;
};

class Prober {
 public:
  // The next of `candidates` to be probed, in random rounds: a failure is noticed within a round at the
  // latest.
  std::optional<NodeId> nextTarget(const std::vector<NodeId>& candidates, absl::BitGenRef random) {
    return round_.next(candidates, random);
  }

  // Notes a probe and returns its sequence number.
  uint32_t start(const NodeId& target, absl::Time now);
  // Notes an answer; late and unknown ones are ignored.
  void answer(uint32_t sequence, const NodeId& target);
  // Probes that now need help from others; each is returned once.
  std::vector<OutstandingProbe> takeOverdue(absl::Time now, absl::Duration timeout);
  // Probes that have failed for good.
  std::vector<OutstandingProbe> takeExpired(absl::Time now, absl::Duration timeout);
  // Forgets all outstanding probes.
  void clear() { outstanding_.clear(); }
  // Probes in a row that nobody answered, up to a small bound. High: rather this node is cut off.
  uint32_t failuresInARow() const { return failures_in_a_row_; }

 private:
  RoundRobin round_;
  std::vector<OutstandingProbe> outstanding_;
  uint32_t last_sequence_ = 0;
  uint32_t failures_in_a_row_ = 0;
};

}  // namespace quincewick::membership
