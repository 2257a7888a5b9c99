// Spreads versions among nodes: announcements are pushed, contents are pulled.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/peer_directory.h"
#include "configuration/replica_events.h"
#include "configuration/replica_state.h"

namespace quincewick::configuration {

class PeerExchange {
 public:
  PeerExchange(const ReplicaSettings& settings, ReplicaState& state, const PeerDirectory& directory,
               absl::Time now)
      : settings_(settings), state_(state), directory_(directory), next_exchange_(now) {}

  void onMessage(const PeerMessageReceived& event, absl::Time now, ReplicaActions& actions);
  void onTick(absl::Time now, absl::BitGenRef random, ReplicaActions& actions);

  // Tells some peers of the zone of this node's version; with `to_other_zones`, their relays too.
  void announce(bool to_other_zones, absl::Time now, absl::BitGenRef random, ReplicaActions& actions);
  // Tells the nodes that stand by for the zone's relay that it is at work.
  void announceToStandbys(absl::Time now, ReplicaActions& actions);
  // Asks some peers for their versions.
  void askPeers(absl::Time now, absl::BitGenRef random, ReplicaActions& actions);

  // Asks all peers for their versions.
  void survey(absl::Time now, ReplicaActions& actions);
  // What the peers have said of their versions.
  std::vector<PeerVersion> peerVersions() const;

  // Peers that have answered since the start, and the greatest version heard of.
  size_t answers() const { return answers_; }
  size_t asked() const { return asked_; }
  ConfigurationVersion greatestHeardOf() const { return target_version_; }

 private:
  // A whole document that is being pulled in parts.
  struct SnapshotPull {
    ConfigurationVersion version;
    uint64_t total = 0;
    std::string bytes;
  };
  // The document as encoded for peers; kept so that all parts are of one version.
  struct EncodedSnapshot {
    ConfigurationVersion version;
    absl::Time encoded_at;
    std::string bytes;
  };

  void onAnnouncement(const NodeId& from, const Announcement& message, absl::Time now,
                      ReplicaActions& actions);
  void onChangesRequest(const NodeId& from, const ChangesRequest& message, absl::Time now,
                        ReplicaActions& actions);
  void onChangeBatch(const NodeId& from, const ChangeBatch& message, absl::Time now, ReplicaActions& actions);
  void onSnapshotRequest(const NodeId& from, const SnapshotRequest& message, absl::Time now,
                         ReplicaActions& actions);
  void onSnapshotChunk(const NodeId& from, const SnapshotChunk& message, absl::Time now,
                       ReplicaActions& actions);
  void takeSnapshot(const NodeId& from, absl::Time now, ReplicaActions& actions);

  void pull(const NodeId& from, absl::Time now, ReplicaActions& actions);
  // After something was taken: notes what is now confirmed, and pulls on if more is known of.
  void afterTaking(const NodeId& from, absl::Time now, ReplicaActions& actions);
  const EncodedSnapshot& encodedSnapshot(ConfigurationVersion wanted, absl::Time now);

  const ReplicaSettings& settings_;
  ReplicaState& state_;
  const PeerDirectory& directory_;
  absl::Time next_exchange_;
  size_t asked_ = 0;
  size_t answers_ = 0;

  absl::btree_map<NodeId, PeerVersion> heard_;  // of nodes that the directory had at the time
  ConfigurationVersion target_version_;         // the greatest heard of
  NodeId target_node_;                          // who last announced it
  absl::Time target_confirmed_at_ = absl::InfinitePast();
  absl::Time pull_sent_ = absl::InfinitePast();  // of the pull that runs; past when none does
  std::optional<SnapshotPull> snapshot_pull_;
  std::unique_ptr<EncodedSnapshot> encoded_snapshot_;
};

}  // namespace quincewick::configuration
