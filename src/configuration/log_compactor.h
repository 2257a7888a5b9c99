// Keeps the log in the table short: writes snapshots, moves old records into audit objects, deletes them.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <optional>
#include <vector>

#include "configuration/replica_events.h"
#include "configuration/replica_state.h"
#include "configuration/store_follower.h"

namespace quincewick::configuration {

// Any node may do this work, also two at once: every step is safe to repeat, and records are deleted only
// after a newer snapshot is pointed to and an audit object holds them. A step that fails ends the work; a
// later start does it again.
class LogCompactor {
 public:
  LogCompactor(const ReplicaSettings& settings, const ReplicaState& state, const StoreFollower& follower,
               CallIssuer& calls)
      : settings_(settings), state_(state), follower_(follower), calls_(calls) {}

  // This node has just had a version accepted: starts if a snapshot of it is due.
  void onAccepted(ConfigurationVersion version, absl::Time now, ReplicaActions& actions);
  // A relay's poll ended: now and then starts if the one who should have done it did not.
  void onPolled(absl::Time now, absl::BitGenRef random, ReplicaActions& actions);
  void onReply(const PlatformReply& reply, absl::Time now, ReplicaActions& actions);
  void onTick(absl::Time now);

 private:
  enum class Step : uint8_t { kIdle, kPutSnapshot, kMovePointer, kReadLog, kPutAudit, kDeleteRecords };

  void start(absl::Time now, ReplicaActions& actions);
  void movePointer(absl::Time now, ReplicaActions& actions);
  void readLog(absl::Time now, ReplicaActions& actions);
  void putAudit(const TableItems& items, absl::Time now, ReplicaActions& actions);
  void deleteRecords(absl::Time now, ReplicaActions& actions);
  void send(Step step, PlatformRequest request, absl::Time now, ReplicaActions& actions);

  const ReplicaSettings& settings_;
  const ReplicaState& state_;
  const StoreFollower& follower_;
  CallIssuer& calls_;
  Step step_ = Step::kIdle;
  std::optional<PlatformCallId> call_;
  absl::Time call_sent_;
  ConfigurationVersion snapshot_version_;
  ConfigurationVersion obsolete_snapshot_;  // 0: none
  std::vector<ConfigurationVersion> archived_;
};

}  // namespace quincewick::configuration
