#include "gateway/configuration_confirmer.h"

#include <utility>

namespace quincewick::gateway {

using forwarding::ConfirmationSchedule;

// A gateway that knows no configuration yet rejects requests, and is told one by its zone's reader.
void ConfigurationConfirmer::tick(absl::FunctionRef<bool()> hears_reader, absl::Time now) {
  const absl::Duration bound = core_.settings.bounds.configuration_in_force;
  const bool may_ask = !is_asking_ && core_.in_force.configuration != nullptr;
  if (may_ask && schedule_.isDue(bound, core_.in_force.confirmed, hears_reader, now)) {
    ask(now);
  }
}

void ConfigurationConfirmer::ask(absl::Time now) {
  is_asking_ = true;
  schedule_.noteRequested(now);
  reader_.read(
      core_.dialect->tables().configuration,
      [this, now](StoreStatus status, WholeTable table) { takeAnswer(status, std::move(table), now); },
      ConfirmationSchedule::confirmationTimeout(core_.settings.bounds.configuration_in_force));
}

void ConfigurationConfirmer::takeAnswer(StoreStatus status, WholeTable table, absl::Time asked) {
  is_asking_ = false;
  const bool is_confirmed = status == StoreStatus::kDone;
  const absl::Time now = reactor::steadyNow();
  core_.metrics.countConfirmation(is_confirmed);
  core_.log.event("configuration_confirmed", now)
      .with("done", is_confirmed ? "true" : "false")
      .with("was_confirmed_ms_ago", core_.configurationAge(now));
  if (is_confirmed) {
    news_({std::move(table.rows), true, table.version, asked, asked});
  }
}

}  // namespace quincewick::gateway
