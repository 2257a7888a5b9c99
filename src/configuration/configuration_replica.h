// A node's replica of the configuration: follows the store and its peers, and brings in operators' changes.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <memory>
#include <vector>

#include "configuration/log_compactor.h"
#include "configuration/peer_directory.h"
#include "configuration/peer_exchange.h"
#include "configuration/proposer.h"
#include "configuration/replica_events.h"
#include "configuration/replica_state.h"
#include "configuration/store_follower.h"

namespace quincewick::configuration {

// Promises:
//   - the version that a replica holds only rises, and each version is the same on all nodes;
//   - a change that was answered as accepted is part of all later versions; one that was answered as not run
//     never becomes part of any;
//   - of two changes to one object that did not know of each other, the later one is refused with the version
//     that won;
//   - a new replica asks its peers before the store, so that it starts while the store is down.
// Not thread-safe: the owner hands in one event after the other.
class ConfigurationReplica {
 public:
  ConfigurationReplica(ReplicaSettings settings, absl::Time now);
  ConfigurationReplica(const ConfigurationReplica&) = delete;
  ConfigurationReplica& operator=(const ConfigurationReplica&) = delete;

  ReplicaActions handle(const ReplicaEvent& event, absl::Time now, absl::BitGenRef random);

  // Whether the policy may be served by: it is known to be recent, or the node may run on its initial one.
  bool isReady() const { return ready_; }
  ConfigurationVersion version() const { return state_.version(); }
  // The policy in force; the initial one while there is no accepted one.
  const Policy& policy() const;
  const Document& document() const { return state_.document(); }
  // When the store last confirmed, directly or through others, that this node was up to date.
  absl::Time confirmedAt() const { return state_.confirmedAt(); }
  // The greatest version that any peer has spoken of.
  ConfigurationVersion greatestHeardOf() const;
  // The latest accepted changes, oldest first.
  const std::deque<ChangeRecord>& history() const { return state_.history(); }
  // The changes that bring back an earlier version; to be proposed as any others.
  Result<std::vector<ObjectChange>> changesBackTo(ConfigurationVersion version) const {
    return state_.changesBackTo(version);
  }
  // What the other nodes last said of their versions.
  std::vector<PeerVersion> peerVersions() const { return exchange_.peerVersions(); }
  // Whether this node polls the store for its zone, as far as it knows.
  bool isRelay() const { return directory_.rank() == 0; }

 private:
  void onTick(absl::Time now, absl::BitGenRef random, ReplicaActions& actions);
  void onPlatformReply(const PlatformReply& reply, absl::Time now, absl::BitGenRef random,
                       ReplicaActions& actions);
  void onPollEnded(StoreFollower::Progress progress, absl::Time now, absl::BitGenRef random,
                   ReplicaActions& actions);
  void pollWhenDue(absl::Time now, absl::BitGenRef random, ReplicaActions& actions);
  bool startupWindowIsOver(absl::Time now) const;
  void updateReadiness(absl::Time now);

  const ReplicaSettings settings_;
  const absl::Time started_at_;
  CallIssuer calls_;
  ReplicaState state_;
  PeerDirectory directory_;
  PeerExchange exchange_;
  StoreFollower follower_;
  Proposer proposer_;
  LogCompactor compactor_;
  bool ready_ = false;
  absl::Time next_poll_;
  absl::Time next_ask_;
};

}  // namespace quincewick::configuration
