// Runs the configuration replica of a node: its thread, its clock, its calls to the platform.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "configuration/configuration_replica.h"
#include "platform/call_pool.h"
#include "platform/platform.h"

namespace quincewick::node {

// What the host needs of the node. Called on the host's thread; none may block for long.
struct ConfigurationHooks {
  // Sends an encoded message to a peer's configuration module; over the channel for bulk where it exceeds a
  // datagram.
  std::function<void(const NodeId& to, std::string bytes, bool bulk)> send;
  // A newer version is in force here, or the first one that the node may serve by.
  std::function<void(ConfigurationVersion version, const configuration::Policy& policy)> in_force;
};

// A view of the replica for operators.
struct ConfigurationView {
  bool ready = false;
  bool relay = false;
  ConfigurationVersion version;
  absl::Duration confirmed_age = absl::InfiniteDuration();
  configuration::Policy policy;
  std::vector<configuration::PeerVersion> peers;
};

// Thread-safe.
class ConfigurationHost {
 public:
  using Outcome = decltype(configuration::ProposalFinished::outcome);

  // `platform` must outlive the host.
  ConfigurationHost(configuration::ReplicaSettings settings, platform::Platform& platform,
                    ConfigurationHooks hooks);
  // Stops the thread. Proposals that wait are answered as of unknown outcome.
  ~ConfigurationHost();
  ConfigurationHost(const ConfigurationHost&) = delete;
  ConfigurationHost& operator=(const ConfigurationHost&) = delete;

  // The other nodes that are thought to live.
  void setPeers(std::vector<configuration::PeerNode> peers);
  // A peer's message, as its host encoded it. Malformed ones are counted and dropped.
  void receive(const NodeId& from, const std::string& bytes);
  uint64_t malformedMessages() const;

  // Proposes changes and waits for the outcome until shortly after the deadline. `id` is set by the host.
  Outcome propose(configuration::ChangeProposed proposal);

  // Waits until the node holds a version; false if it does not by the deadline.
  bool waitForVersion(ConfigurationVersion version, absl::Time deadline) const;

  // Asks all peers for their versions; the answers show in later views.
  void survey();
  ConfigurationView view() const;
  std::vector<configuration::ChangeRecord> changesAfter(ConfigurationVersion version) const;
  Result<std::vector<configuration::ObjectChange>> changesBackTo(ConfigurationVersion version) const;

 private:
  void enqueue(configuration::ReplicaEvent event);
  void run();
  // Waits for an event or the next tick. Nothing: the host stops.
  std::optional<configuration::ReplicaEvent> nextEvent();
  void handle(const configuration::ReplicaEvent& event);
  void perform(const configuration::ReplicaAction& action);
  bool hasEvent() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(queue_mutex_) { return stopping_ || !queue_.empty(); }

  const ConfigurationHooks hooks_;

  mutable absl::Mutex replica_mutex_;  // never taken while queue_mutex_ is held
  configuration::ConfigurationReplica replica_ ABSL_GUARDED_BY(replica_mutex_);
  std::mt19937_64 random_ ABSL_GUARDED_BY(replica_mutex_);

  mutable absl::Mutex queue_mutex_;
  std::deque<configuration::ReplicaEvent> queue_ ABSL_GUARDED_BY(queue_mutex_);
  absl::btree_map<configuration::ProposalId, Outcome> outcomes_ ABSL_GUARDED_BY(queue_mutex_);
  configuration::ProposalId last_proposal_ ABSL_GUARDED_BY(queue_mutex_);
  uint64_t malformed_ ABSL_GUARDED_BY(queue_mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(queue_mutex_) = false;

  absl::Time next_tick_;                       // used by the thread alone
  std::unique_ptr<platform::CallPool> calls_;  // before the thread: its callbacks fill the queue
  std::thread thread_;
};

}  // namespace quincewick::node
