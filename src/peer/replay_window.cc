#include "peer/replay_window.h"

namespace quincewick::peer {

ReplayVerdict ReplayWindow::accept(const NodeId& sender, Incarnation incarnation, Sequence sequence) {
  auto entry = windows_.find(sender);
  if (entry == windows_.end()) {
    if (windows_.size() >= kMaximumSenders) {
      return ReplayVerdict::kReplayed;
    }
    entry = windows_.emplace(sender, Window{incarnation, 0, {}}).first;
  }
  Window& window = entry->second;
  if (incarnation < window.incarnation) {
    return ReplayVerdict::kOldIncarnation;
  }
  if (incarnation > window.incarnation) {
    window = Window{incarnation, 0, {}};
  }
  return advance(window, sequence.value());
}

ReplayVerdict ReplayWindow::advance(Window& window, uint64_t sequence) {
  if (sequence + kWidth <= window.highest || sequence == 0) {
    return ReplayVerdict::kReplayed;
  }
  if (sequence > window.highest) {
    if (sequence - window.highest >= kWidth) {
      window.seen.reset();
    } else {
      for (uint64_t skipped = window.highest + 1; skipped < sequence; ++skipped) {
        window.seen.reset(skipped % kWidth);
      }
    }
    window.highest = sequence;
    window.seen.set(sequence % kWidth);
    return ReplayVerdict::kFresh;
  }
  if (window.seen.test(sequence % kWidth)) {
    return ReplayVerdict::kReplayed;
  }
  window.seen.set(sequence % kWidth);
  return ReplayVerdict::kFresh;
}

}  // namespace quincewick::peer
