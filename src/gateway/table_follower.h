// Follows one table of the store: reads it whole, then its changes, and whole again where the history is
// gone, an answer failed, or a confirmation is due.
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
#include "gateway/store_client.h"
#include "gateway/whole_table_reader.h"

namespace quincewick::gateway {

struct TableFollowerSettings {
  std::string table;
  forwarding::PollingScheduleSettings pace;
};

class TableFollower {
 public:
  using News = std::function<void(const forwarding::TableUpdate& news)>;

  TableFollower(Core& core, TableFollowerSettings settings, News news);

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
  void readWhole();
  void readWholeInstead(StoreStatus why);
  void takeWhole(WholeTable whole, absl::Time began);
  void noteDown();
  void followOn(absl::Duration after);
  void follow();
  // Calls the action later unless the following has stopped meanwhile.
  void later(absl::Duration after, const std::function<void()>& action);

  Core& core_;
  TableFollowerSettings settings_;
  forwarding::PollingSchedule pace_;
  News news_;
  WholeTableReader whole_reader_;
  std::unique_ptr<StoreClient> feed_store_;  // a new one at each start: an old wait may go on for long
  uint64_t version_ = 0;                     // all changes up to here have been taken; 0: none yet
  uint64_t turn_ = 0;                        // rises with each start and stop
  bool is_following_ = false;
  bool follows_changes_ = false;
  bool is_down_ = false;
};

}  // namespace quincewick::gateway
