#include "gateway/software_record.h"

namespace quincewick::gateway {
namespace {

// Zones' lists differ by less: a version is recorded as gone when no list has it.
constexpr absl::Duration kGoneAfter = absl::Seconds(5);
// Until the row that was written has been read again, or the next try after a failed write.
constexpr absl::Duration kRewriteDelay = absl::Seconds(1);

}  // namespace

void SoftwareRecord::applyUpdate(const forwarding::TableUpdate& update) {
  const absl::Duration clock = core_.storeClock(reactor::steadyNow()).value_or(absl::ZeroDuration());
  for (const forwarding::StoreRow& row : update.rows) {
    const forwarding::ServiceName service(row.key);
    busy_until_.erase(service);
    if (row.is_gone) {
      refused_rows_.forget(row.key);
      core_.software_histories.noteRowGone(service);
      continue;
    }
    const auto history = forwarding::decodeSoftwareHistory(row.value);
    if (history.has_error()) {
      refused_rows_.note(row.key, history.error().message);
      continue;
    }
    refused_rows_.forget(row.key);
    core_.software_histories.noteRow(service, history.value(), row.version, clock);
  }
}

void SoftwareRecord::noteListed(absl::Time now) {
  for (const auto& [id, server] : core_.directory.all()) {
    if (const auto software = server->provenSoftware()) {
      last_listed_[{server->entry.service, *software}] = now;
    }
  }
  absl::erase_if(last_listed_, [now](const auto& entry) { return entry.second + kGoneAfter < now; });
}

absl::flat_hash_set<forwarding::ServiceName> SoftwareRecord::recordedServices() const {
  absl::flat_hash_set<forwarding::ServiceName> services;
  if (core_.in_force.configuration != nullptr) {
    for (const forwarding::Route& route : core_.in_force.configuration->routes()) {
      for (const forwarding::ServiceShare& share : route.shares) {
        if (route.is_resumable) {
          services.insert(share.service);
        }
      }
    }
  }
  return services;
}

SoftwareRecord::Versions SoftwareRecord::listedVersions(const forwarding::ServiceName& service) const {
  Versions versions;
  for (const auto& server : core_.directory.ofService(service)) {
    if (const auto software = server->provenSoftware()) {
      versions.insert(*software);
    }
  }
  return versions;
}

SoftwareRecord::Versions SoftwareRecord::recentVersions(const forwarding::ServiceName& service,
                                                        absl::Time now) const {
  Versions versions;
  for (const auto& [version, at] : last_listed_) {
    if (version.first == service && now < at + kGoneAfter) {
      versions.insert(version.second);
    }
  }
  return versions;
}

forwarding::SoftwareHistories::Observation SoftwareRecord::observe(const forwarding::ServiceName& service,
                                                                   absl::Time now) {
  const forwarding::SiteConfiguration& configuration = *core_.in_force.configuration;
  forwarding::SoftwareHistories::Observation observation;
  observation.listed = listedVersions(service);
  observation.recent = recentVersions(service, now);
  observation.routes = forwarding::hashOfResumableRoutes(configuration, service);
  observation.configuration = configuration.version();
  observation.era = core_.store_history.era();
  observation.is_complete = isCompleteFromStart(service);
  return observation;
}

// Nothing served before the first start of a site whose store was never restored.
bool SoftwareRecord::isCompleteFromStart(const forwarding::ServiceName& service) {
  if (!first_services_) {
    first_services_ = recordedServices();
  }
  return core_.settings.site_is_new && core_.store_history.restores() == 0 &&
         first_services_->contains(service);
}

void SoftwareRecord::write(absl::Time now, const std::function<void()>& written) {
  const std::optional<absl::Duration> clock = core_.storeClock(now);
  if (!clock) {
    return;
  }
  for (const forwarding::ServiceName& service : recordedServices()) {
    const auto busy = busy_until_.find(service);
    if (busy != busy_until_.end() && now < busy->second) {
      continue;
    }
    const auto next = core_.software_histories.nextWrite(service, observe(service, now), *clock);
    if (next) {
      busy_until_[service] = now + StoreClient::kCallLimit + kRewriteDelay;
      writeRow(service, *next, written);
    }
  }
}

// All zone readers attempt the write; the first row is kept.
void SoftwareRecord::writeRow(const forwarding::ServiceName& service,
                              const forwarding::SoftwareHistories::Known& next,
                              const std::function<void()>& written) {
  forwarding::StoreRow row;
  row.table = kTable;
  row.key = service.value();
  row.value = forwarding::encodeSoftwareHistory(next.history);
  store_.write(row, next.row_version,
               [this, service, written](StoreStatus status, const forwarding::StoreRows& /*rows*/) {
                 const absl::Time now = reactor::steadyNow();
                 core_.log.event("software_recorded", now)
                     .with("service", service.value())
                     .with("done", status == StoreStatus::kDone ? "true" : "false");
                 busy_until_[service] = now + kRewriteDelay;
                 if (status != StoreStatus::kNotDone) {
                   written();
                 }
               });
}

}  // namespace quincewick::gateway
