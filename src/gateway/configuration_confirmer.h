// Reads the operator's rows from the store once the configuration in force was confirmed too long ago, in
// place of the reader that this gateway follows.
#pragma once

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

#include <functional>
#include <utility>

#include "forwarding/confirmation_schedule.h"
#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/whole_table_reader.h"

namespace quincewick::gateway {

class ConfigurationConfirmer {
 public:
  using News = std::function<void(const forwarding::TableUpdate& news)>;

  ConfigurationConfirmer(Core& core, News news) : core_(core), news_(std::move(news)), reader_(core) {}

  // Asks if a confirmation is due and none is under way. `hears_reader`: whether somebody gets answers of the
  // store.
  void tick(absl::FunctionRef<bool()> hears_reader, absl::Time now);

 private:
  void ask(absl::Time now);
  void takeAnswer(StoreStatus status, WholeTable table, absl::Time asked);

  Core& core_;
  News news_;
  WholeTableReader reader_;
  forwarding::ConfirmationSchedule schedule_;
  bool is_asking_ = false;
};

}  // namespace quincewick::gateway
