// Since when a change that a node has just read may have been made. Performs no I/O; `now` never decreases.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace quincewick::forwarding {

// A read without the change proves that it was made after that read began. A node that stood still reads it
// late, and the last read before counts all the same. While the store is out of reach, no change counts
// against the node: after an outage, the time from a change to its reading isn't taken to be longer than the
// store's changes usually need.
class ConfirmationWatch {
 public:
  // Called about every `interval`, however long the node stood still in between. `confirmed`: the start of
  // the last complete read.
  void tick(absl::Time now, absl::Time confirmed, absl::Duration interval) {
    const absl::Duration passed = std::min(now - last_tick_, interval);
    unconfirmed_ = confirmed == confirmed_ ? unconfirmed_ + passed : absl::ZeroDuration();
    confirmed_ = confirmed;
    last_tick_ = now;
  }

  // Whether no read confirmed anything for `usual` while the node ran. Within this time a node in touch with
  // the store reads each change.
  bool isOutOfReach(absl::Duration usual) const { return unconfirmed_ >= usual; }

  // The earliest time of a change that was read at `now` and that the read which began at `confirmed` lacked;
  // InfinitePast if there was none.
  absl::Time changedSince(absl::Time now, absl::Time confirmed, absl::Duration usual) const {
    const bool is_bounded = confirmed == absl::InfinitePast() || isOutOfReach(usual);
    return is_bounded ? std::max(confirmed, now - usual) : confirmed;
  }

 private:
  absl::Time last_tick_ = absl::InfinitePast();
  absl::Time confirmed_ = absl::InfinitePast();
  absl::Duration unconfirmed_ = absl::ZeroDuration();  // that passed while the node ran
};

}  // namespace quincewick::forwarding
