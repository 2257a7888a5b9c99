// Servers whose entries expired during an outage of the store. A server renews its entry periodically, so
// entries of healthy servers lapse in an outage and reappear shortly after it. An entry that is missing then
// does not yet mean that the server is gone.
//
// That a node got no read of the list for a while does not prove an outage: its reader may have changed, or
// the node was frozen or cut off itself, while servers left for good. An outage is assumed only if no peer
// that the node hears from has read the list either. Performs no I/O; `now` never decreases.
#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

namespace quincewick::forwarding {

class LapsedEntries {
 public:
  // The list was read, by this node or by its reader. The first read after an outage ends the outage.
  void noteListRead(absl::Time now);
  // This node hears from peers, and neither they nor this node can read the list.
  void noteStoreOutage() { outage_noted_ = true; }
  // Whether an outage lasts, or ended so recently that a missing entry may still reappear.
  bool mayReappear(absl::Time now) const { return now < awaited_until_ || isOutage(now); }
  // The server's entry is missing: the server is kept until takeLapsed() returns it or the entry reappears.
  void await(const std::string& server_id) { awaited_.insert(server_id); }
  // The server's entry exists.
  void notePresent(const std::string& server_id) { awaited_.erase(server_id); }
  // Returns the servers whose entries have not reappeared in time and forgets them: they are gone.
  std::vector<std::string> takeLapsed(absl::Time now);

 private:
  bool isOutage(absl::Time now) const;

  absl::Time last_read_ = absl::InfiniteFuture();  // before the first read no entry can lapse
  bool outage_noted_ = false;                      // an outage was noted since the last read
  absl::Time awaited_until_ = absl::InfinitePast();
  absl::flat_hash_set<std::string> awaited_;
};

}  // namespace quincewick::forwarding
