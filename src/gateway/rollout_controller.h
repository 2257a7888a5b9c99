// Runs the site's rollouts while this gateway holds the rollout lease: collects the accounts of all gateways,
// writes rollout records, and notifies all gateways of the current ones (docs/design/staged_rollout.md).
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <utility>

#include "gateway/core.h"
#include "gateway/lease_client.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "gateway/rollout_exchange.h"
#include "staged_rollout/rollout_state_machine.h"
#include "staged_rollout/version_verdict.h"

namespace quincewick::gateway {

class RolloutController {
 public:
  RolloutController(Core& core, PeerDirectory& directory, PeerExchange& peers, RolloutExchange& rollouts);

  // `reads_store`: whether this gateway is its zone's reader now. Only zone readers acquire the lease.
  void start(std::function<bool()> reads_store);

 private:
  // The latest account of one rollout from one gateway.
  struct AccountReport {
    uint64_t incarnation = 0;
    uint64_t confirmed_row = 0;
    absl::Time last_received = absl::InfinitePast();
    staged_rollout::ResponseStats counts;
  };
  // The decider's state for one service's rollout. All of it can be rebuilt from later accounts.
  struct Evaluation {
    staged_rollout::RolloutRecord record;  // as of the last evaluation
    staged_rollout::VersionVerdict verdict;
    absl::btree_map<NodeId, AccountReport> reports;
    bool is_write_pending = false;
    int stop_notices_sent = 0;
  };
  using State = RolloutExchange::ServiceState;

  void tick();
  bool isLeaseNeeded() const;
  bool needsDecision(const State& state) const;
  absl::Duration leaseTurnDelay(absl::Time now) const;
  void handleAccount(const NodeId& from, const RolloutAccount& account);
  Evaluation& evaluationOf(const forwarding::ServiceName& service, const State& state);
  void advance(const forwarding::ServiceName& service, State& state, absl::Time now);
  void writeInitialRecord(const forwarding::ServiceName& service, State& state);
  staged_rollout::RolloutInputs situationOf(State& state, const Evaluation& evaluation, absl::Time now) const;
  void noteConfirmations(const State& state, const Evaluation& evaluation, absl::Time now,
                         staged_rollout::RolloutInputs& situation) const;
  void write(staged_rollout::RolloutRecord record, uint64_t expected_row);
  void rereadRecord(const forwarding::ServiceName& service);
  void handleReread(const staged_rollout::KnownRecord& known);
  void handleWriteResult(const staged_rollout::KnownRecord& known);
  void notifyAll(const staged_rollout::RolloutNotice& notice);
  void notifyInTurn(const staged_rollout::RolloutNotice& notice);

  Core& core_;
  PeerDirectory& directory_;
  PeerExchange& peers_;
  RolloutExchange& rollouts_;
  StoreClient store_;
  LeaseClient lease_;
  std::function<bool()> reads_store_ = [] { return false; };
  absl::btree_map<forwarding::ServiceName, Evaluation> evaluations_;
  uint64_t ticks_ = 0;
};

}  // namespace quincewick::gateway
