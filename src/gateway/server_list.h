// Takes the list of servers, as it is told from the store or by a peer, into the directory: who is new, who
// started again, who leaves or went, and whose entry can't be read.
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

  void take(const forwarding::TableNews& update, absl::Time now);
  // Neither this gateway nor a peer that it hears reads the list.
  void noteAway() { lapsed_.noteAway(); }
  // Removes servers whose entries were awaited in vain.
  void removeGone(absl::Time now);

 private:
  void takeRow(const forwarding::StoreRow& row, absl::Duration list_was_old, absl::Time now);
  void refuse(const forwarding::StoreRow& row, const std::string& why);
  void logEffect(const forwarding::ServerEntry& entry, forwarding::EntryEffect effect, absl::Time now);
  void noteMissing(const std::string& server_id, absl::Time now);
  void remove(const std::string& server_id, absl::Time now);

  Core& core_;
  forwarding::LapsedEntries lapsed_;
  RefusedRows refused_;
};

}  // namespace quincewick::gateway
