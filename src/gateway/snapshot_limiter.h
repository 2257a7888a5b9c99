// Limits how many followers are sent a snapshot of a large table at once: a reader's send buffers must fit
// into its memory, and snapshots must arrive before the followers time out. Without I/O; `now` is monotonic.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>

#include "types/identifiers.h"

namespace quincewick::gateway {

class SnapshotLimiter {
 public:
  // Whether one more snapshot may be sent now.
  bool maySend(absl::Time now);
  void noteSent(const NodeId& follower, absl::Time now) { in_progress_[follower] = now; }
  // Called for the follower's next request, which shows that it has the last response.
  void noteDelivered(const NodeId& follower) { in_progress_.erase(follower); }

  // A snapshot of 10,000 servers takes 0.3 MB: 20 MB in total, which the smallest reader machine has free.
  static constexpr size_t kMaxConcurrent = 64;
  // A snapshot without another request within this time no longer counts: its follower is assumed gone.
  static constexpr absl::Duration kSendTimeout = absl::Seconds(2);

 private:
  absl::flat_hash_map<NodeId, absl::Time> in_progress_;  // send time by follower
};

inline bool SnapshotLimiter::maySend(absl::Time now) {
  if (in_progress_.size() >= kMaxConcurrent) {
    absl::erase_if(in_progress_, [now](const auto& entry) { return now - entry.second > kSendTimeout; });
  }
  return in_progress_.size() < kMaxConcurrent;
}

}  // namespace quincewick::gateway
