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
#include "gateway/store_client.h"
#include "gateway/whole_table_reader.h"
#include "peer/authenticator.h"
#include "routing/keeper_ranks.h"

namespace quincewick::gateway {

// Another gateway, as its row and its digests tell.
struct Peer {
  Address address;  // UDP for digests, TCP for questions after rows
  ZoneName zone;    // empty: not known yet
  absl::Time heard = absl::InfinitePast();
  double capacity = 0;        // of its machine
  bool reads_well = false;    // it reads the store and gets answers
  uint64_t told_engines = 0;  // what it was told of, by the numbers of the news
  uint64_t told_placements = 0;
  uint64_t told_capabilities = 0;
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
  std::vector<routing::KeeperMember> keeperMembers() const;
  bool isOwnZone(const Peer& peer) const { return peer.zone == core_.settings.zone; }

 private:
  void readRows();
  void takeRows(const WholeTable& table);
  void takeKey(const std::string& secret, absl::Duration store_clock);
  void writeKey();
  void writeOwnRow(uint64_t expected_version);
  void readRowsAgain(absl::Duration after);
  void readAfterWrite(StoreStatus status);
  absl::Duration nextRetryPause();

  Core& core_;
  StoreClient store_;
  WholeTableReader reader_;
  std::function<void()> ready_;
  absl::Duration retry_pause_;  // until the next call where the store did not answer
  bool had_conflict_ = false;   // the last write met a row that the reading before had not shown
  std::unique_ptr<peer::Authenticator> authenticator_;
  absl::btree_map<NodeId, Peer> peers_;
  RefusedRows refused_rows_;
};

}  // namespace quincewick::gateway
