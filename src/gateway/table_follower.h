// Follows one table of the store: reads a snapshot, then deltas by long polls, and another snapshot when the
// history is gone, a call failed, or a confirmation is due.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "forwarding/polling_schedule.h"
#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/snapshot_reader.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

struct TableFollowerSettings {
  std::string table;
  forwarding::PollingScheduleSettings pace;
};

class TableFollower {
 public:
  using UpdateHandler = std::function<void(const forwarding::TableUpdate& update)>;

  TableFollower(Core& core, TableFollowerSettings settings, UpdateHandler on_update);

  // Starts following, beginning with a snapshot. No effect while it follows.
  void start();
  // Starts again, with a snapshot at once.
  void restart() {
    stop();
    start();
  }
  // Stops. Responses to calls in progress are ignored.
  void stop();
  // Sets how long the store holds a long poll without changes, from the next request on.
  void setWait(absl::Duration wait) { settings_.pace.wait = wait; }
  // Whether the last snapshot read failed.
  bool isDown() const { return is_down_; }

 private:
  void readSnapshot();
  void fallBackToSnapshot(StoreStatus why);
  void applySnapshot(TableSnapshot snapshot, absl::Time began);
  void handleReadFailure();
  void followAfter(absl::Duration after);
  void follow();
  // Schedules the action, which is skipped if following was stopped or restarted in the meantime.
  void scheduleUnlessStopped(absl::Duration after, const std::function<void()>& action);

  Core& core_;
  TableFollowerSettings settings_;
  forwarding::PollingSchedule pace_;
  UpdateHandler on_update_;
  SnapshotReader snapshot_reader_;
  std::unique_ptr<StoreClient>
      feed_store_;           // a new one for each start, because an old long poll may still be in progress
  uint64_t version_ = 0;     // all changes up to this version were applied; 0: none yet
  uint64_t generation_ = 0;  // incremented with each start and stop, to discard late responses
  bool is_following_ = false;
  bool follows_changes_ = false;
  bool is_down_ = false;
};

}  // namespace quincewick::gateway
