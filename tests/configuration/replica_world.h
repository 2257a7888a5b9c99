// A site of configuration replicas on virtual time, with a store, a network and their faults, and the list of
// accepted changes as the oracle. Every promise of the replica is checked while it runs.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "configuration/configuration_replica.h"

namespace quincewick::configuration {

struct WorldOptions {
  uint32_t zones = 3;
  uint32_t nodes = 9;                                    // in all, dealt out evenly
  absl::Duration zone_distance = absl::Milliseconds(2);  // the longest way between zones
  uint64_t seed = 1;
  uint64_t snapshot_interval = 8;
  bool check_documents = true;  // compare whole documents with the oracle's; slow for large sites
};

// Faults of the store, as chances for each call.
struct StoreFaults {
  bool down = false;
  double lost_request = 0;
  double lost_answer = 0;  // the call took effect at once
  double late_effect = 0;  // the caller gives up first, then the call takes effect
  absl::Duration delay = absl::Milliseconds(3);
};

struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  double long_delay = 0;  // of up to half a second, so that messages overtake each other
};

// Bytes and calls, for measurements.
struct WorldCounters {
  uint64_t store_reads = 0;
  uint64_t store_writes = 0;
  uint64_t messages = 0;
  uint64_t message_bytes = 0;  // without the envelope
  absl::Duration handling;     // processor time within the replicas
};

class ReplicaWorld {
 public:
  explicit ReplicaWorld(WorldOptions options);

  size_t size() const { return nodes_.size(); }
  absl::Time now() const { return now_; }
  void run(absl::Duration duration);

  // Proposes changes through a node, based on the version that it holds less `base_lag`. Returns the
  // operation.
  OperationId propose(size_t node, std::vector<ObjectChange> changes, uint64_t base_lag = 0);
  // Sends the same proposal again through another node.
  void repeat(size_t node, const OperationId& operation);

  void crash(size_t node);
  void restart(size_t node);
  void pause(size_t node, absl::Duration duration);
  bool isUp(size_t node) const { return nodes_[node].replica != nullptr; }
  void cutZone(uint32_t zone) { cut_zones_.insert(zone); }
  // Ends all faults and starts all nodes.
  void heal();

  StoreFaults store_faults;
  NetworkFaults network_faults;
  absl::Duration membership_lag = absl::Seconds(2);  // until peers learn of a crash or a start
  std::optional<Policy> initial_policy;

  ConfigurationReplica& replica(size_t node) { return *nodes_[node].replica; }
  const std::vector<ChangeRecord>& accepted() const { return accepted_; }
  absl::Time acceptedAt(ConfigurationVersion version) const { return accepted_at_[version.value() - 1]; }
  const WorldCounters& counters() const { return counters_; }
  size_t logLength() const;
  size_t objectCount() const { return objects_.size(); }
  // Called when a version comes in force at a node.
  std::function<void(size_t node, ConfigurationVersion version)> on_in_force;

  // Broken promises, as found while running.
  const std::vector<std::string>& violations() const { return violations_; }
  // Checks what must hold once faults have healed and some time has passed.
  void checkConverged();

 private:
  struct Node {
    NodeId id;
    uint32_t zone = 0;
    std::unique_ptr<ConfigurationReplica> replica;  // null: crashed
    uint64_t life = 0;                              // counts the starts
    absl::Time paused_until = absl::InfinitePast();
    ConfigurationVersion last_version;
  };
  struct Proposal {
    ChangeProposed event;
    bool settled = true;  // every send of it was answered as not run
    uint32_t open = 0;    // sends not yet answered
  };

  void at(absl::Time time, std::function<void()> action);
  void deliver(size_t node, uint64_t life, ReplicaEvent event);
  void perform(size_t node, ReplicaActions actions);
  void send(size_t node, const SendToPeer& message);
  void callStore(size_t node, const PlatformCall& call);
  PlatformResult execute(const PlatformRequest& request);
  PlatformResult transact(const TableTransaction& transaction);
  void noteAccepted(const ChangeRecord& record);
  void finishProposal(const ProposalFinished& finished);
  void checkVersion(size_t node);
  void tellPeers();
  void startTicks(size_t node);
  void violation(std::string text) { violations_.push_back(std::move(text)); }
  bool chance(double probability);
  absl::Duration between(absl::Duration least, absl::Duration most);

  const WorldOptions options_;
  std::mt19937_64 random_;
  absl::Time now_;
  std::map<std::pair<absl::Time, uint64_t>, std::function<void()>> queue_;
  uint64_t next_event_ = 0;
  std::vector<Node> nodes_;
  std::map<NodeId, size_t> index_;
  std::set<uint32_t> cut_zones_;

  std::map<std::string, TableItem> table_;
  std::map<std::string, std::string> objects_;
  std::vector<ChangeRecord> accepted_;  // the oracle
  std::vector<absl::Time> accepted_at_;
  std::map<OperationId, ConfigurationVersion> accepted_operations_;
  std::map<ObjectKey, ConfigurationVersion> changed_in_;
  Document oracle_document_;
  std::map<uint64_t, Document> oracle_documents_;

  uint64_t next_proposal_ = 0;
  std::map<OperationId, Proposal> proposals_;
  std::map<ProposalId, OperationId> sends_;
  std::vector<std::string> violations_;
  WorldCounters counters_;
};

}  // namespace quincewick::configuration
