// Writes which software versions of each service may have begun streams to a table of the store, and reads
// it. Zone readers write it, read it and relay it like the operator's rows
// (docs/design/software_versions.md).
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <utility>

#include "forwarding/row_cache.h"
#include "forwarding/software_history.h"
#include "gateway/core.h"
#include "gateway/refused_rows.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

class SoftwareRecord {
 public:
  static constexpr const char* kTable = "gateway-software-history";

  explicit SoftwareRecord(Core& core) : core_(core), store_(core), refused_rows_(core, kTable) {}

  // Applies an update of the table, from the store or from a peer.
  void applyUpdate(const forwarding::TableUpdate& update);
  // Notes which versions are listed.
  void noteListed(absl::Time now);
  // Writes what the table lacks of them. `written`: called when a write has ended, whoever's row is there.
  void write(absl::Time now, const std::function<void()>& written);

 private:
  using Versions = forwarding::SoftwareHistories::Versions;

  // The services whose streams may be resumed.
  absl::flat_hash_set<forwarding::ServiceName> recordedServices() const;
  forwarding::SoftwareHistories::Observation observe(const forwarding::ServiceName& service, absl::Time now);
  // Whether no stream of the service can have begun before its first row.
  bool isCompleteFromStart(const forwarding::ServiceName& service);
  Versions listedVersions(const forwarding::ServiceName& service) const;
  Versions recentVersions(const forwarding::ServiceName& service, absl::Time now) const;
  void writeRow(const forwarding::ServiceName& service, const forwarding::SoftwareHistories::Known& next,
                const std::function<void()>& written);

  Core& core_;
  StoreClient store_;
  RefusedRows refused_rows_;
  // Of the first configuration: other services may have got streams by one that this gateway didn't see.
  std::optional<absl::flat_hash_set<forwarding::ServiceName>> first_services_;
  absl::flat_hash_map<std::pair<forwarding::ServiceName, SoftwareVersion>, absl::Time> last_listed_;
  // Services whose row is being written, or written and not read again, until then at most.
  absl::flat_hash_map<forwarding::ServiceName, absl::Time> busy_until_;
};

}  // namespace quincewick::gateway
