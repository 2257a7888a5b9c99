// Brings operators' changes into the store, one at a time, each at most once.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>

#include "configuration/replica_events.h"
#include "configuration/replica_state.h"
#include "configuration/store_follower.h"

namespace quincewick::configuration {

// Each try reads the store first, so that what is refused is refused by the newest state, and then writes on
// top of exactly the head it has read. A write whose answer was lost is looked for in the log. It is sent
// again only on top of the same head, where the table takes one of the two at most; once the head has moved
// without it, it can no longer take effect.
class Proposer {
 public:
  Proposer(ReplicaState& state, StoreFollower& follower, CallIssuer& calls)
      : state_(state), follower_(follower), calls_(calls) {}

  void propose(ChangeProposed proposal, absl::Time now, ReplicaActions& actions);
  // A poll of the store ended.
  void onPollEnded(StoreFollower::Progress progress, absl::Time now, absl::BitGenRef random,
                   ReplicaActions& actions);
  // Takes a reply, if it is to this proposer's write. Returns whether it was.
  bool onReply(const PlatformReply& reply, absl::Time now, absl::BitGenRef random, ReplicaActions& actions);
  void onTick(absl::Time now, absl::Duration call_timeout, absl::BitGenRef random, ReplicaActions& actions);

 private:
  enum class Phase : uint8_t { kIdle, kReading, kWriting, kWaiting };

  void startNext(absl::Time now, ReplicaActions& actions);
  void read(absl::Time now, ReplicaActions& actions);
  // Decides on the first proposal by the state just read.
  void evaluate(absl::Time now, ReplicaActions& actions);
  void write(std::vector<ObjectChange> changes, absl::Time now, ReplicaActions& actions);
  void onCommitted(const TableCommitted& committed, absl::Time now, ReplicaActions& actions);
  void onWriteError(const Error& error, absl::Time now, absl::BitGenRef random, ReplicaActions& actions);
  void waitAndRetry(absl::Time now, absl::BitGenRef random, ReplicaActions& actions);
  void finish(decltype(ProposalFinished::outcome) outcome, absl::Time now, ReplicaActions& actions);
  void finishLate(absl::Time now, ReplicaActions& actions);

  ReplicaState& state_;
  StoreFollower& follower_;
  CallIssuer& calls_;
  std::deque<ChangeProposed> queue_;  // the first one is being worked on
  Phase phase_ = Phase::kIdle;
  absl::Time phase_began_;
  absl::Time retry_at_;
  uint32_t failures_ = 0;  // of the first proposal, in a row
  ChangeRecord record_;    // being written
  std::optional<PlatformCallId> call_;
  // The head on top of which a write of the first proposal may have taken effect, or yet may.
  std::optional<ConfigurationVersion> uncertain_on_;
};

}  // namespace quincewick::configuration
