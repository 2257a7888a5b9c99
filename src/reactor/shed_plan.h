// Decides which connections are closed when all together hold too many bytes. Does no I/O and reads no clock.
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <vector>

#include "reactor/buffer_budget.h"

namespace quincewick::reactor {

// What can be freed by closing one connection.
struct ShedCandidate {
  size_t bytes = 0;       // charged to the budget
  absl::Time began;       // of the message that holds them
  absl::Time progressed;  // when its peer had last sent or taken kShedProgressBytes more
};

// Bytes sent or taken that count as progress of a message.
inline constexpr size_t kShedProgressBytes = 16384;
// A message without progress for this time has stalled.
inline constexpr absl::Duration kShedStall = absl::Seconds(1);

// Indexes of the candidates to close, so that no more is used than leaves room for the rest, in this order:
// those that have stalled, by the bytes they hold and the time since; then large ones, the latest first, so
// that those that began before them are completed; then small ones, by the bytes they hold. When the turn
// comes to `growing`, which has just grown, it is the last one.
// `used`: bytes of the budget, of the candidates and others.
std::vector<size_t> planShed(const std::vector<ShedCandidate>& candidates, const BufferBudget& budget,
                             size_t used, std::optional<size_t> growing, absl::Time now);

}  // namespace quincewick::reactor
