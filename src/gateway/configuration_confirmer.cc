#include "gateway/configuration_confirmer.h"

#include <utility>

namespace quincewick::gateway {

using forwarding::ConfirmationSchedule;

// A gateway without a configuration rejects requests, and gets its first one from its zone's reader.
void ConfigurationConfirmer::tick(absl::FunctionRef<bool()> has_live_reader, absl::Time now) {
  const absl::Duration bound = core_.settings.bounds.configuration_in_force;
  const bool may_send = !is_request_pending_ && core_.in_force.configuration != nullptr;
  if (may_send && schedule_.isDue(bound, core_.in_force.confirmed, has_live_reader, now)) {
    sendRequest(now);
  }
}

void ConfigurationConfirmer::sendRequest(absl::Time now) {
  is_request_pending_ = true;
  schedule_.noteRequested(now);
  reader_.read(
      core_.dialect->tables().configuration,
      [this, now](StoreStatus status, TableSnapshot table) { handleResponse(status, std::move(table), now); },
      ConfirmationSchedule::confirmationTimeout(core_.settings.bounds.configuration_in_force));
}

void ConfigurationConfirmer::handleResponse(StoreStatus status, TableSnapshot table, absl::Time sent_at) {
  is_request_pending_ = false;
  const bool is_confirmed = status == StoreStatus::kDone;
  const absl::Time now = reactor::steadyNow();
  core_.metrics.countConfirmation(is_confirmed);
  core_.log.event("configuration_confirmed", now)
      .with("done", is_confirmed ? "true" : "false")
      .with("was_confirmed_ms_ago", core_.configurationAge(now));
  if (is_confirmed) {
    on_update_(updateFrom(std::move(table), sent_at));
  }
}

}  // namespace quincewick::gateway
