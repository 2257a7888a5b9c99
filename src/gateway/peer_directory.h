// Who the other gateways of the site are, through rows of the store, and the key that all seal their messages
// with: the first gateway writes it.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/core.h"
#include "gateway/refused_rows.h"
#include "gateway/snapshot_reader.h"
#include "gateway/store_client.h"
#include "peer/authenticator.h"
#include "routing/keeper_ranks.h"

namespace quincewick::gateway {

// Another gateway, as its row and its digests tell.
struct Peer {
  Address address;  // UDP for digests, TCP for questions after rows
  ZoneName zone;    // empty: not known yet
  absl::Time last_received = absl::InfinitePast();
  double capacity = 0;              // of its machine
  bool is_zone_reader = false;      // it reads the store and gets answers
  uint64_t last_engine_update = 0;  // what it was told of, by the numbers of the news
  uint64_t last_placement_update = 0;
  uint64_t last_capability_update = 0;
};

class PeerDirectory {
 public:
  explicit PeerDirectory(Core& core);

  // Finds the key, writes the own row and reads the others'. `ready`: the key is known.
  void start(std::function<void()> ready);

  // Null until the key is known.
  peer::Authenticator* authenticator() const { return authenticator_.get(); }
  absl::btree_map<NodeId, Peer>& peers() { return peers_; }
  const absl::btree_map<NodeId, Peer>& peers() const { return peers_; }
  // All gateways of the site, this one too, as those that may keep books for the others.
  std::vector<routing::KeeperMember> ownerCandidates() const;
  bool isOwnZone(const Peer& peer) const { return peer.zone == core_.settings.zone; }

 private:
  void readRows();
  void applyRows(const TableSnapshot& table);
  void applyKey(const std::string& secret, absl::Duration store_clock);
  void writeKey();
  void writeOwnRow(uint64_t expected_version);
  void readRowsLater(absl::Duration after);
  void readAfterWrite(StoreStatus status);
  absl::Duration nextRetryDelay();

  Core& core_;
  StoreClient store_;
  SnapshotReader reader_;
  std::function<void()> ready_;
  absl::Duration retry_delay_;  // until the next call where the store did not answer
  bool had_conflict_ = false;   // the last write met a row that the reading before had not shown
  std::unique_ptr<peer::Authenticator> authenticator_;
  absl::btree_map<NodeId, Peer> peers_;
  RefusedRows refused_rows_;
};

}  // namespace quincewick::gateway
