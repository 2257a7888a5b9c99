// Takes the operator's configuration, the named weights and the list of servers into the core: from the store
// where this gateway reads it for its zone, else from the peer that does.
#pragma once

#include <memory>
#include <vector>

#include "forwarding/reader_election.h"
#include "forwarding/row_cache.h"
#include "gateway/configuration_confirmer.h"
#include "gateway/core.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "gateway/refused_rows.h"
#include "gateway/relay_follower.h"
#include "gateway/rollout_exchange.h"
#include "gateway/row_relay.h"
#include "gateway/server_list.h"
#include "gateway/table_follower.h"
#include "gateway/weights_record.h"

namespace quincewick::gateway {

class SiteFollower {
 public:
  SiteFollower(Core& core, PeerDirectory& peers, PeerExchange& exchange, RowRelay& relay);

  void start();
  // Whether this gateway reads the store, gets answers and so has fresh rows for its zone.
  bool isZoneReader() const;
  // Whether it neither reads nor follows one who does.
  bool seeksReader() const { return !role_.reads && !role_.follows; }

 private:
  // One table, from wherever it is followed.
  struct Table {
    std::string name;
    forwarding::RowCache cache;
    TableFollower from_store;
    RelayFollower from_peer;
  };

  void tick();
  bool knowsPeers() const;
  bool storeAnswers() const;
  absl::Duration oldestList() const;
  absl::Duration oldestConfiguration() const;
  std::vector<Table*> tables();
  void applyRole(const forwarding::ReaderRole& role);
  std::vector<forwarding::ReaderCandidate> candidates(absl::Time now) const;
  void handleReaderFailure(const NodeId& reader);
  void retryRolloutsLater(const NodeId& reader);
  void applyRollouts(const forwarding::TableNews& update);
  void checkAge(absl::Time now);
  void checkIsolation(absl::Time now);

  void handleStoreUpdate(Table& table, const forwarding::TableNews& update);
  void handleRelayedConfiguration(const forwarding::TableNews& update);
  void handleConfirmation(const forwarding::TableNews& update);
  void applyUpdate(Table& table, const forwarding::TableNews& update, bool from_store);
  void applyOperatorRows(const forwarding::TableNews& update, bool from_store);
  void applyWeights(const forwarding::StoreRow& row, bool from_store);
  void rereadWeightsRecord();
  void applyConfiguration(const forwarding::StoreRow& row, bool from_store);

  Core& core_;
  PeerDirectory& peers_;
  PeerExchange& exchange_;
  RowRelay& relay_;
  forwarding::ReaderElection election_;
  forwarding::ReaderRole role_;
  absl::Time peers_known_since_ = absl::InfiniteFuture();
  uint64_t configuration_row_ = 0;   // the store's version of the row in force
  bool has_unreadable_row_ = false;  // a newer configuration can't be read: nothing confirms the old one
  bool has_snapshot_ = false;        // what is named from now on is news
  bool is_reader_outdated_ = false;  // the one that is followed, until there is a better one
  // When the configuration was confirmed last as far as readers told, whatever this gateway found itself.
  absl::Time relayed_confirmed_ = absl::InfinitePast();
  ServerList list_;
  RefusedRows refused_rows_;  // of the operator
  WeightsRecord weights_record_;
  ConfigurationConfirmer confirmer_;
  Table operator_rows_;
  Table servers_;
  Table weights_rows_;
  Table rollout_rows_;  // followed only where the site moves versions in stages
};

}  // namespace quincewick::gateway
