// Gateways whose rows were removed from the store: they hold no parts of limits any more. Pure.
#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include "types/identifiers.h"

namespace quincewick::gateway {

class RetiredPeers {
 public:
  // A complete reading of the table found the rows of these gateways.
  void noteRows(absl::flat_hash_set<NodeId> listed);
  // Whether the gateway's row was there and is gone. One that was heard since counts as in use: the store may
  // have lost the row. `last_received`: its last message.
  bool isRetired(const NodeId& peer, absl::Time last_received, absl::Time now) const;

 private:
  absl::flat_hash_set<NodeId> listed_;
  absl::flat_hash_set<NodeId> removed_;  // listed once, and not at the last reading
};

}  // namespace quincewick::gateway
