// Follows one table of the store: reads it whole, then its changes, and whole again where the history is
// gone, an answer failed, or a confirmation is due.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "forwarding/reading_pace.h"
#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/snapshot_reader.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

struct TableFollowerSettings {
  std::string table;
  forwarding::ReadingPaceSettings pace;
};

class TableFollower {
 public:
  using UpdateHandler = std::function<void(const forwarding::TableNews& update)>;

  TableFollower(Core& core, TableFollowerSettings settings, UpdateHandler update);

  // Follows from now on, with a whole reading first; does nothing while it follows.
  void start();
  // Begins anew, with a whole reading at once.
  void restart() {
    stop();
    start();
  }
  // Stops; answers under way are not taken any more.
  void stop();
  // From the next question on: how long the store holds one that it has no changes for.
  void setWait(absl::Duration wait) { settings_.pace.wait = wait; }
  // Whether the store's last answer about the whole table was none.
  bool isDown() const { return is_down_; }

 private:
  void readSnapshot();
  void fallBackToSnapshot(StoreStatus why);
  void applySnapshot(TableSnapshot snapshot, absl::Time began);
  void handleReadFailure();
  void followAfter(absl::Duration after);
  void follow();
  // Calls the action later unless the following has stopped meanwhile.
  void scheduleUnlessStopped(absl::Duration after, const std::function<void()>& action);

  Core& core_;
  TableFollowerSettings settings_;
  forwarding::ReadingPace pace_;
  UpdateHandler on_update_;
  SnapshotReader snapshot_reader_;
  std::unique_ptr<StoreClient> feed_store_;  // a new one at each start: an old wait may go on for long
  uint64_t version_ = 0;                     // all changes up to here have been taken; 0: none yet
  uint64_t generation_ = 0;                  // rises with each start and stop
  bool is_following_ = false;
  bool follows_changes_ = false;
  bool is_down_ = false;
};

}  // namespace quincewick::gateway
