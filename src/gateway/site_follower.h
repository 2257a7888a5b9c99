// Takes the operator's configuration, the named weights and the list of servers from the store into the core.
#pragma once

#include <vector>

#include "gateway/core.h"
#include "gateway/table_follower.h"
#include "gateway/weights_record.h"

namespace quincewick::gateway {

class SiteFollower {
 public:
  explicit SiteFollower(Core& core);

  void start();

 private:
  void takeOperatorRows(const std::vector<forwarding::StoreRow>& rows, bool whole, absl::Time began);
  void takeConfiguration(const forwarding::StoreRow& row, bool whole, absl::Time began);
  void takeServers(const std::vector<forwarding::StoreRow>& rows, bool whole);
  void forgetGone();

  Core& core_;
  uint64_t configuration_row_ = 0;  // the store's version of the row in force
  bool has_read_rows_ = false;      // what is named from now on is news
  WeightsRecord weights_record_;
  TableFollower operator_rows_;
  TableFollower servers_;
};

}  // namespace quincewick::gateway
