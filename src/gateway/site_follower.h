// Keeps the operator's configuration, the published weights, the list of servers and the rollout records
// current in the core: from the store if this gateway is its zone's reader, otherwise through that reader.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "forwarding/confirmation_watch.h"
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
#include "gateway/software_record.h"
#include "gateway/table_follower.h"
#include "gateway/table_rules.h"
#include "gateway/weights_record.h"

namespace quincewick::gateway {

class SiteFollower {
 public:
  SiteFollower(Core& core, PeerDirectory& peers, PeerExchange& exchange, RowRelay& relay);

  void start();
  // Whether this gateway reads the store for its zone and its rows are fresh.
  bool isZoneReader() const;
  // Whether this gateway neither reads the store nor follows a reader.
  bool seeksReader() const { return !role_.reads && !role_.follows; }

 private:
  // One replicated table and its two sources.
  struct Table {
    std::string name;
    forwarding::RowCache cache;
    TableFollower from_store;
    RelayFollower from_peer;
  };

  void tick();
  bool knowsPeers() const;
  bool isStoreResponding() const;
  absl::Duration maxServerListAge() const;
  absl::Duration maxConfigurationAge() const;
  std::vector<Table*> tables();
  void applyRole(const forwarding::ReaderRole& role);
  std::vector<forwarding::ReaderCandidate> candidates(absl::Time now) const;
  void handleReaderFailure(const NodeId& reader);
  // A reader of an earlier build serves no such table.
  void retryLater(Table& table, const NodeId& reader);
  void applyRollouts(const forwarding::TableUpdate& update);
  // Logs and counts rows of a response that weren't applied, and known rows that it replaced although their
  // version is later. `source`: "store", or the peer that sent it.
  void noteContradictions(const Table& table, const forwarding::TableUpdate& update,
                          const forwarding::AppliedUpdate& effect, const std::string& source);
  void checkReaderStaleness(absl::Time now);
  void checkIsolation(absl::Time now);

  // Reacts to restores of the store that were noticed since the last call.
  void checkRestores(absl::Time now);
  void handlePeersRestore();
  // Begins again with a snapshot, if this gateway is the zone reader.
  void rereadTable(Table& table);
  void handleStoreUpdate(Table& table, forwarding::TableUpdate update);
  // Both return whether the copy needs a snapshot.
  bool handleRelayedUpdate(Table& table, const forwarding::TableUpdate& update);
  bool handleRelayedConfiguration(forwarding::TableUpdate update);
  void handleConfirmation(const forwarding::TableUpdate& update);
  forwarding::AppliedUpdate applyUpdate(Table& table, const forwarding::TableUpdate& update, bool from_store);
  void applyOperatorRows(const forwarding::TableUpdate& update, absl::Time unnamed, bool from_store);
  void applyWeights(const forwarding::StoreRow& row, absl::Time unnamed, bool from_store);
  void rereadWeightsRecord();
  void recordSoftware(absl::Time now);
  void applyConfiguration(const forwarding::StoreRow& row, bool from_store);

  Core& core_;
  PeerDirectory& peers_;
  PeerExchange& exchange_;
  RowRelay& relay_;
  forwarding::ReaderElection election_;
  forwarding::ReaderRole role_;
  absl::Time peers_known_since_ = absl::InfiniteFuture();
  uint64_t restores_ = 0;  // of the store that were reacted to
  // Until then, servers whose entries a restore lost may write them again.
  absl::Time entries_return_until_ = absl::InfinitePast();
  bool has_unreadable_row_ =
      false;                   // the newest configuration can't be parsed, so the old one isn't confirmed
  bool has_snapshot_ = false;  // weights published from now on are new
  bool is_reader_outdated_ = false;  // the followed reader's rows are outdated, until it is replaced
  // When readers last confirmed the configuration, regardless of this gateway's own confirmations.
  absl::Time relayed_confirmed_ = absl::InfinitePast();
  forwarding::ConfirmationWatch confirmation_watch_;  // of the operator's rows
  ServerList list_;
  RefusedRows refused_rows_;  // the operator's rows
  WeightsRecord weights_record_;
  SoftwareRecord software_record_;
  absl::Time software_recorded_ = absl::InfinitePast();
  ConfigurationConfirmer confirmer_;
  ConfigurationParser parser_;
  Table operator_rows_;
  Table servers_;
  Table weights_rows_;
  Table software_rows_;
  Table rollout_rows_;  // followed only if the site uses staged rollouts
};

}  // namespace quincewick::gateway
