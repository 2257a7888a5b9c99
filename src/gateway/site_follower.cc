#include "gateway/site_follower.h"

#include <memory>
#include <string>
#include <utility>

namespace quincewick::gateway {
namespace {

// Servers write often: their changes are taken in turns, well within the time for leaving servers.
TableFollowerSettings serverSettings(const Core& core) {
  TableFollowerSettings settings;
  settings.table = core.dialect->tables().servers;
  settings.wait = absl::Seconds(1);
  settings.pause = core.settings.bounds.server_drain / 5;
  settings.whole_every = absl::Seconds(6);
  return settings;
}

TableFollowerSettings operatorSettings(const Core& core) {
  TableFollowerSettings settings;
  settings.table = core.dialect->tables().configuration;
  return settings;
}

}  // namespace

SiteFollower::SiteFollower(Core& core)
    : core_(core),
      weights_record_(core),
      operator_rows_(
          core, operatorSettings(core),
          [this](const auto& rows, bool whole, absl::Time began) { takeOperatorRows(rows, whole, began); }),
      servers_(core, serverSettings(core),
               [this](const auto& rows, bool whole, absl::Time /*began*/) { takeServers(rows, whole); }) {}

void SiteFollower::start() {
  weights_record_.start();
  operator_rows_.start();
  servers_.start();
}

void SiteFollower::takeOperatorRows(const std::vector<forwarding::StoreRow>& rows, bool whole,
                                    absl::Time began) {
  const forwarding::StoreTables& tables = core_.dialect->tables();
  for (const forwarding::StoreRow& row : rows) {
    if (row.key == tables.configuration_key) {
      takeConfiguration(row, whole, began);
    } else if (row.key.starts_with(tables.weights_prefix) && !row.is_gone) {
      const auto weights = core_.dialect->readNamedWeights(row.value);
      if (weights.has_value() && core_.weights.note(weights.value(), reactor::steadyNow())) {
        core_.log.event("weights_named", reactor::steadyNow())
            .with("model", weights.value().model.value())
            .with("version", static_cast<int64_t>(weights.value().version.value()));
        if (has_read_rows_) {
          weights_record_.record(weights.value());
        }
      }
    }
  }
  has_read_rows_ = has_read_rows_ || whole;
}

// Only a whole reading confirms: a change that is told late must not pass for a newer look.
void SiteFollower::takeConfiguration(const forwarding::StoreRow& row, bool whole, absl::Time began) {
  ConfigurationInForce& in_force = core_.in_force;
  if (row.is_gone || row.version < configuration_row_) {
    return;
  }
  if (row.version > configuration_row_) {
    auto read = core_.dialect->readConfiguration(row.value);
    const absl::Time now = reactor::steadyNow();
    if (read.has_error()) {
      core_.log.event("configuration_refused", now).with("why", read.error().message);
      return;
    }
    const bool is_older =
        in_force.configuration != nullptr && read.value().version() < in_force.configuration->version();
    if (is_older) {
      return;
    }
    configuration_row_ = row.version;
    in_force.configuration = std::make_shared<const forwarding::SiteConfiguration>(std::move(read.value()));
    core_.log.event("configuration", now)
        .with("version", static_cast<int64_t>(in_force.configuration->version().value()))
        .with("routes", static_cast<int64_t>(in_force.configuration->routes().size()));
  }
  if (whole) {
    in_force.confirmed = std::max(in_force.confirmed, began);
  }
}

void SiteFollower::takeServers(const std::vector<forwarding::StoreRow>& rows, bool whole) {
  std::vector<std::string> ids;
  for (const forwarding::StoreRow& row : rows) {
    if (row.is_gone) {
      core_.log.event("server_gone", reactor::steadyNow()).with("server", row.key);
      core_.directory.remove(row.key);
      continue;
    }
    auto entry = core_.dialect->readServer(row.key, row.value);
    if (entry.has_error()) {
      core_.log.event("server_refused", reactor::steadyNow())
          .with("server", row.key)
          .with("why", entry.error().message);
      continue;
    }
    ids.push_back(row.key);
    const bool is_draining = entry.value().is_draining;
    const std::string service = entry.value().service.value();
    if (core_.directory.upsert(std::move(entry.value()))) {
      core_.log.event("server_new", reactor::steadyNow())
          .with("server", row.key)
          .with("service", service)
          .with("draining", is_draining ? "true" : "false");
    }
  }
  if (whole) {
    core_.directory.keepOnly(ids);
    core_.knows_servers = true;
  }
  forgetGone();
}

void SiteFollower::forgetGone() {
  for (const forwarding::EngineSlot slot : core_.directory.takeFreedSlots()) {
    core_.placement.forget(slot);
  }
}

}  // namespace quincewick::gateway
