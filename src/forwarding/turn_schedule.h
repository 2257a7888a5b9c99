// Staggered turns of gateways that may all do the same thing, in an order that all know: the first few follow
// each other quickly, the others slowly. Performs no I/O.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>

namespace quincewick::forwarding {

struct TurnSchedule {
  absl::Duration quick;  // between the first quick_turns turns
  int64_t quick_turns = 0;
  absl::Duration slow;  // between all further turns

  // How long a gateway waits for its turn.
  absl::Duration after(int64_t turns_before) const {
    const int64_t first = std::min(turns_before, quick_turns);
    return quick * first + slow * (turns_before - first);
  }
};

}  // namespace quincewick::forwarding
