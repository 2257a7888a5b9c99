// The site's rollout record in the table: read now and then, changed by compare-and-set.
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <optional>
#include <vector>

#include "fleet/rollout_command.h"
#include "types/platform.h"

namespace quincewick::fleet {

// The end of one command: the record as it now is, or why it was refused. kConflict: another change won.
struct CommandAnswered {
  OperationId operation;
  Result<RolloutRecord> result;
};

// Pure; the owner serialises the calls and tags the table's calls. At most one call is in flight; the
// commands of one node are carried out in turn.
class RolloutStore {
 public:
  explicit RolloutStore(absl::Duration poll_interval) : poll_interval_(poll_interval) {}

  // Operation identifiers must be unique: an own write is recognised by them after a lost answer.
  // kResourceExhausted if too many commands wait.
  Result<void> enqueue(const OperationId& operation, RolloutCommand command);
  bool isIdle() const { return queue_.empty(); }

  // What to ask of the table now. `should_poll`: read the record regularly, for a leader.
  std::optional<PlatformRequest> nextCall(bool should_poll, absl::Time now);
  // The result of the last call, or nothing if it was given up. Returns the commands that it ends.
  std::vector<CommandAnswered> takeResult(const std::optional<PlatformResult>& result, absl::Time now);

  // When the record was last read or written; nothing before the first time.
  std::optional<absl::Time> readAt() const { return read_at_; }
  const RolloutRecord& record() const { return record_; }
  absl::Time nextWakeup(bool should_poll) const;

 private:
  struct Waiting {
    OperationId operation;
    RolloutCommand command;
    std::optional<RolloutRecord> attempt;  // written, outcome unknown or not yet back
  };

  void takeItem(const TableItem& item, absl::Time now);
  void settleFirst(std::vector<CommandAnswered>& answered);

  absl::Duration poll_interval_;
  std::deque<Waiting> queue_;
  RolloutRecord record_;
  uint64_t version_ = kAbsentItemVersion;
  std::optional<absl::Time> read_at_;
  bool is_stale_ = true;  // must be read before the next write
  bool in_flight_ = false;
  absl::Time next_call_ = absl::InfinitePast();
};

}  // namespace quincewick::fleet
