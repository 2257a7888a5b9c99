// Servers whose entries went while the store was away. A server writes its entry again and again, so entries
// of sound servers lapse in an outage and are back a moment after it: what is missing then isn't taken as
// gone yet.
//
// A node that had no reading for a while has not seen an outage: its reader may have changed, or it was
// frozen or cut off itself, while servers left for good. Only where no peer that it hears has a reading
// either was the store away. Pure; `now` never goes back.
#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

namespace quincewick::forwarding {

class LapsedEntries {
 public:
  // The list was read, by this node or for it. The first reading after an outage ends it.
  void noteReading(absl::Time now);
  // Peers are heard, and none of them reads the list, nor does this node.
  void noteStoreOutage() { is_away_ = true; }
  // Whether an outage lasts, or ended so lately that a missing entry may still come back.
  bool mayReappear(absl::Time now) const { return now < awaited_until_ || isOutage(now); }
  // The server's entry is missing: it is awaited. It keeps its place while that lasts.
  void await(const std::string& server_id) { awaited_.insert(server_id); }
  // The server's entry is there.
  void notePresent(const std::string& server_id) { awaited_.erase(server_id); }
  // Servers that were awaited in vain, each once: they are gone.
  std::vector<std::string> takeLapsed(absl::Time now);

 private:
  bool isOutage(absl::Time now) const;

  absl::Time last_reading_ = absl::InfiniteFuture();  // none yet: nothing is known that could lapse
  bool is_away_ = false;                              // since the last reading
  absl::Time awaited_until_ = absl::InfinitePast();
  absl::flat_hash_set<std::string> awaited_;
};

}  // namespace quincewick::forwarding
