// Follows one table of the store: reads it whole, then its changes, and whole again where the history is
// gone, an answer failed, or a confirmation is due.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "gateway/core.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

struct TableFollowerSettings {
  std::string table;
  absl::Duration wait = absl::Seconds(2);       // for a change
  absl::Duration pause = absl::ZeroDuration();  // between an answer and the next question
  absl::Duration whole_every = absl::Milliseconds(1500);
};

class TableFollower {
 public:
  // One answer of the store. `whole`: the rows are all that the table has.
  using Rows =
      std::function<void(const std::vector<forwarding::StoreRow>& rows, bool whole, absl::Time began)>;

  TableFollower(Core& core, TableFollowerSettings settings, Rows rows);

  void start();

 private:
  void readWhole(const std::string& from, std::vector<forwarding::StoreRow> read, absl::Time began);
  void scheduleWhole(absl::Duration after);
  void followOn(absl::Duration after);
  void follow();

  Core& core_;
  TableFollowerSettings settings_;
  Rows rows_;
  StoreClient whole_store_;
  StoreClient feed_store_;
  uint64_t version_ = 0;  // all changes up to here have been taken; 0: none yet
  bool follows_ = false;
  bool is_down_ = false;
};

}  // namespace quincewick::gateway
