// Turns of gateways that may do the same thing, in an order that all know: the first few follow each other
// quickly, the others slowly. Pure.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>

namespace quincewick::forwarding {

struct TurnSchedule {
  absl::Duration quick;     // between the first turns
  int64_t quick_turns = 0;  // so many
  absl::Duration slow;      // between all further ones

  // How long a gateway waits for its turn, with so many before it.
  absl::Duration after(int64_t turns_before) const {
    const int64_t first = std::min(turns_before, quick_turns);
    return quick * first + slow * (turns_before - first);
  }
};

}  // namespace quincewick::forwarding
