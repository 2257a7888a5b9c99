// Applies updates of the list of servers to the server directory: new, restarted, draining and removed
// servers, and entries that can't be parsed.
#pragma once

#include <absl/time/time.h>

#include <string>

#include "forwarding/lapsed_entries.h"
#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/refused_rows.h"

namespace quincewick::gateway {

class ServerList {
 public:
  explicit ServerList(Core& core);

  void applyUpdate(const forwarding::TableUpdate& update, absl::Time now);
  // Called while neither this gateway nor a live peer reads the list.
  void noteStoreOutage() { lapsed_.noteStoreOutage(); }
  // Removes servers whose entries did not return within the grace time.
  void removeGone(absl::Time now);

 private:
  void applyRow(const forwarding::StoreRow& row, absl::Duration list_was_old, absl::Time now);
  void refuse(const forwarding::StoreRow& row, const std::string& why);
  void logEffect(const forwarding::ServerEntry& entry, forwarding::EntryEffect effect, absl::Time now);
  void noteMissing(const std::string& server_id, absl::Time now);
  void remove(const std::string& server_id, absl::Time now);

  Core& core_;
  forwarding::LapsedEntries lapsed_;
  RefusedRows refused_;
};

}  // namespace quincewick::gateway
