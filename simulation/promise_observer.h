// Checks what must always hold against the ground truth of a run: what engines, action servers, callers and
// the platform saw. It never asks the modules under test.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/topology.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::simulation {

// One count for each promise; all 0 in a correct run.
struct PromiseViolations {
  uint64_t cross_cache_use = 0;      // a request used blocks of another tenant, weights or incarnation
  uint64_t broken_streams = 0;       // an answer with a gap, a repeat, a wrong end, or cut by a planned stop
  uint64_t restart_not_serving = 0;  // a restarted node did not serve within the limit
  uint64_t false_not_run = 0;        // refused as not run, though a back end took it before or after
  uint64_t repeated_actions = 0;     // an action's further runs
  uint64_t work_to_leaving = 0;      // new work sent to an engine that has been leaving for too long
  uint64_t configuration_reverted = 0;  // a version in force that was never accepted, or older than before

  uint64_t total() const {
    return cross_cache_use + broken_streams + restart_not_serving + false_not_run + repeated_actions +
           work_to_leaving + configuration_reverted;
  }
};

// A request of a caller, numbered over the whole run.
using RequestNumber = uint64_t;

struct PromiseLimits {
  absl::Duration serving_after_restart = absl::Seconds(5);
  absl::Duration new_work_to_leaving = absl::Seconds(10);
};

class PromiseObserver {
 public:
  PromiseObserver(size_t nodes, size_t engines, PromiseLimits limits);

  // What engines see.
  void engineTookRequest(RequestNumber request);
  void workArrived(EngineIndex engine, absl::Time now);
  void engineLeaving(EngineIndex engine, absl::Time now) { leaving_since_[engine] = now; }
  void engineReturned(EngineIndex engine) { leaving_since_[engine] = absl::InfiniteFuture(); }
  void crossCacheUses(uint64_t count) { violations_.cross_cache_use = count; }

  // What action servers see.
  void actionRan(RequestNumber request, const std::string& key);

  // What callers see. Tokens come as ranges [from, to) of offsets.
  void tokensReceived(RequestNumber request, uint64_t from, uint64_t to);
  // The end marker; `expected_tokens` is the length of the whole answer.
  void streamEnded(RequestNumber request, uint64_t expected_tokens);
  // A visible cut: allowed when a node has crashed, not in a planned stop.
  void streamCut(RequestNumber request, bool by_planned_stop);
  void refused(RequestNumber request, Execution execution);

  // Nodes, as the platform and the callers see them.
  void nodeStarted(NodeIndex node, absl::Time now) { started_at_[node] = now; }
  void nodeStopped(NodeIndex node) { started_at_[node] = absl::InfiniteFuture(); }
  void nodeServes(NodeIndex node, absl::Time now);
  // True from a node's start until it was seen to serve or was counted.
  bool awaitsService(NodeIndex node) const { return started_at_[node] != absl::InfiniteFuture(); }
  // Counts nodes that have been started for longer than the limit and do not serve.
  void checkRestarts(absl::Time now);

  // The configuration: `content` is a digest of the version's text.
  void configurationAccepted(ConfigurationVersion version, uint64_t content);
  void configurationInForce(NodeIndex node, ConfigurationVersion version, uint64_t content);

  const PromiseViolations& violations() const { return violations_; }

 private:
  PromiseLimits limits_;
  PromiseViolations violations_;
  absl::flat_hash_set<RequestNumber> taken_;
  absl::flat_hash_set<RequestNumber> refused_as_not_run_;
  absl::flat_hash_map<RequestNumber, uint64_t> next_offset_;
  absl::flat_hash_map<std::string, uint64_t> action_runs_;
  std::vector<absl::Time> leaving_since_;
  std::vector<absl::Time> started_at_;
  std::vector<ConfigurationVersion> in_force_;
  absl::flat_hash_map<ConfigurationVersion, uint64_t> accepted_;
};

}  // namespace quincewick::simulation
