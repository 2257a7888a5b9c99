// Discovers the other gateways of the site through rows of the store, and the shared key that authenticates
// messages between them, which the first gateway writes.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/core.h"
#include "gateway/peer.h"
#include "gateway/refused_rows.h"
#include "gateway/retired_peers.h"
#include "gateway/snapshot_reader.h"
#include "gateway/store_client.h"
#include "peer/authenticator.h"
#include "routing/keeper_ranks.h"

namespace quincewick::gateway {

class PeerDirectory {
 public:
  explicit PeerDirectory(Core& core);

  // Reads or creates the key, writes the own row and reads the others'. `ready`: called once the key is
  // known.
  void start(std::function<void()> ready);

  // The store lost acknowledged writes: reads the rows again within some seconds, and writes again what is
  // missing of the own row and the key.
  void rereadAfterRestore();

  // Null until the key is known.
  peer::Authenticator* authenticator() const { return authenticator_.get(); }
  absl::btree_map<NodeId, Peer>& peers() { return peers_; }
  const absl::btree_map<NodeId, Peer>& peers() const { return peers_; }
  // Whether the others' rows were read after this gateway's own was written, or there are no peers to know.
  bool isComplete() const { return !core_.settings.listen.peers || is_complete_; }
  // All gateways of the site, including this one, as candidates for holding parts of limits and owning engine
  // occupancy: also those that are down, but not those whose rows were removed. Sorted by id.
  std::vector<routing::KeeperMember> ownerCandidates() const;
  bool isOwnZone(const Peer& peer) const { return peer.zone == core_.settings.zone; }

 private:
  void readRows();
  void applyRows(const TableSnapshot& table);
  void applyKey(const std::string& secret, absl::Duration store_clock);
  bool mayWriteKey() const;
  void writeKey();
  void writeOwnRow(uint64_t expected_version);
  void readRowsLater(absl::Duration after);
  void readAfterWrite(StoreStatus status);
  absl::Duration nextRetryDelay();

  Core& core_;
  StoreClient store_;
  SnapshotReader reader_;
  std::function<void()> ready_;
  std::string secret_;                                     // the key; empty until it is known
  reactor::TimerQueue::Key reread_;                        // of the next read of the rows
  absl::Duration retry_delay_;                             // until the next call after a failed one
  absl::Time key_missing_since_ = absl::InfiniteFuture();  // the first of the latest reads without the key
  bool had_conflict_ = false;  // the last write met a row that the previous read did not show
  std::unique_ptr<peer::Authenticator> authenticator_;
  absl::btree_map<NodeId, Peer> peers_;
  RefusedRows refused_rows_;
  RetiredPeers retired_;
  bool is_complete_ = false;
};

}  // namespace quincewick::gateway
