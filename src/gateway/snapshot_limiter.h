// How many followers are sent a whole large table at once: what a reader has ready to be sent must fit into
// its memory, and what it sends must arrive before its followers give up. Pure; `now` never goes back.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>

#include "types/identifiers.h"

namespace quincewick::gateway {

class SnapshotLimiter {
 public:
  // Whether one more may be sent now.
  bool maySend(absl::Time now);
  void noteSent(const NodeId& follower, absl::Time now) { in_progress_[follower] = now; }
  // The follower's next question came: it has its last answer.
  void noteDelivered(const NodeId& follower) { in_progress_.erase(follower); }

  // Of 0.3 MB each for 10,000 servers: 20 MB, which the smallest machine that reads has.
  static constexpr size_t kMaxConcurrent = 64;
  // One that is not followed by a question within that time is over: its follower went.
  static constexpr absl::Duration kSendTimeout = absl::Seconds(2);

 private:
  absl::flat_hash_map<NodeId, absl::Time> in_progress_;  // since when
};

inline bool SnapshotLimiter::maySend(absl::Time now) {
  if (in_progress_.size() >= kMaxConcurrent) {
    absl::erase_if(in_progress_, [now](const auto& entry) { return now - entry.second > kSendTimeout; });
  }
  return in_progress_.size() < kMaxConcurrent;
}

}  // namespace quincewick::gateway
