// Reads the operator's rows directly from the store when the configuration in force was last confirmed too
// long ago, instead of relying on the reader that this gateway follows.
#pragma once

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

#include <functional>
#include <utility>

#include "forwarding/confirmation_schedule.h"
#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/snapshot_reader.h"

namespace quincewick::gateway {

class ConfigurationConfirmer {
 public:
  using UpdateHandler = std::function<void(const forwarding::TableUpdate& on_update)>;

  ConfigurationConfirmer(Core& core, UpdateHandler on_update)
      : core_(core), on_update_(std::move(on_update)), reader_(core) {}

  // Starts a read if a confirmation is due and none is in progress. `has_live_reader`: whether this gateway
  // or a peer gets responses from the store.
  void tick(absl::FunctionRef<bool()> has_live_reader, absl::Time now);

 private:
  void sendRequest(absl::Time now);
  void handleResponse(StoreStatus status, TableSnapshot table, absl::Time sent_at);

  Core& core_;
  UpdateHandler on_update_;
  SnapshotReader reader_;
  forwarding::ConfirmationSchedule schedule_;
  bool is_request_pending_ = false;
};

}  // namespace quincewick::gateway
