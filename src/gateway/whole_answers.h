// How many followers are sent a whole large table at once: what a reader has ready to be sent must fit into
// its memory, and what it sends must arrive before its followers give up. Pure; `now` never goes back.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>

#include "types/identifiers.h"

namespace quincewick::gateway {

class WholeAnswers {
 public:
  // Whether one more may be sent now.
  bool mayBegin(absl::Time now);
  void noteSent(const NodeId& follower, absl::Time now) { under_way_[follower] = now; }
  // The follower's next question came: it has its last answer.
  void noteAsked(const NodeId& follower) { under_way_.erase(follower); }

  // Of 0.3 MB each for 10,000 servers: 20 MB, which the smallest machine that reads has.
  static constexpr size_t kAtOnce = 64;
  // One that is not followed by a question within that time is over: its follower went.
  static constexpr absl::Duration kLongest = absl::Seconds(2);

 private:
  absl::flat_hash_map<NodeId, absl::Time> under_way_;  // since when
};

inline bool WholeAnswers::mayBegin(absl::Time now) {
  if (under_way_.size() >= kAtOnce) {
    absl::erase_if(under_way_, [now](const auto& entry) { return now - entry.second > kLongest; });
  }
  return under_way_.size() < kAtOnce;
}

}  // namespace quincewick::gateway
