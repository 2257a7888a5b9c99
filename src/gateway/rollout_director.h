// Decides on the site's rollouts while this gateway holds the lease for that: gathers all gateways' accounts,
// writes records, and tells all that they hold (docs/design/staged_rollout.md).
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <utility>

#include "gateway/core.h"
#include "gateway/lease_keeper.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "gateway/rollout_exchange.h"
#include "staged_rollout/rollout_state_machine.h"
#include "staged_rollout/version_verdict.h"

namespace quincewick::gateway {

class RolloutDirector {
 public:
  RolloutDirector(Core& core, PeerDirectory& directory, PeerExchange& peers, RolloutExchange& rollouts);

  // `reads_store`: whether this gateway reads the store for its zone now; only such ones decide.
  void start(std::function<bool()> reads_store);

 private:
  // What a gateway told last of one rollout.
  struct Told {
    uint64_t life = 0;
    uint64_t confirmed_row = 0;
    absl::Time heard = absl::InfinitePast();
    staged_rollout::ResponseStats counts;
  };
  // What this gateway knows as the decider of one service's rollout; all of it comes again from accounts.
  struct Judged {
    staged_rollout::RolloutRecord record;  // as it was judged last
    staged_rollout::VersionVerdict verdict;
    absl::btree_map<NodeId, Told> told;
    bool is_write_under_way = false;
    int stops_told = 0;
  };
  using State = RolloutExchange::ServiceState;

  void tick();
  bool isNeeded() const;
  bool isOpen(const State& state) const;
  absl::Duration turn(absl::Time now) const;
  void takeAccount(const NodeId& from, const RolloutAccount& account);
  Judged& judgedOf(const forwarding::ServiceName& service, const State& state);
  void direct(const forwarding::ServiceName& service, State& state, absl::Time now);
  void writeFirst(const forwarding::ServiceName& service, State& state);
  staged_rollout::RolloutInputs situationOf(State& state, const Judged& judged, absl::Time now) const;
  void noteConfirmations(const State& state, const Judged& judged, absl::Time now,
                         staged_rollout::RolloutInputs& situation) const;
  void write(staged_rollout::RolloutRecord record, uint64_t expected_row);
  void readAgain(const forwarding::ServiceName& service);
  void takeReadAgain(const staged_rollout::KnownRecord& known);
  void takeWritten(const staged_rollout::KnownRecord& known);
  void tellAll(const staged_rollout::RolloutNotice& notice);
  void tellInTurn(const staged_rollout::RolloutNotice& notice);

  Core& core_;
  PeerDirectory& directory_;
  PeerExchange& peers_;
  RolloutExchange& rollouts_;
  StoreClient store_;
  LeaseKeeper lease_;
  std::function<bool()> reads_store_ = [] { return false; };
  absl::btree_map<forwarding::ServiceName, Judged> judged_;
  uint64_t ticks_ = 0;
};

}  // namespace quincewick::gateway
