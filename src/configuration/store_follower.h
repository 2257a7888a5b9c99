// Reads what the store holds beyond this node's version.
#pragma once

#include <absl/time/time.h>

#include <optional>

#include "configuration/replica_events.h"
#include "configuration/replica_state.h"
#include "configuration/store_format.h"

namespace quincewick::configuration {

// Hands out the ids of calls to the platform.
class CallIssuer {
 public:
  PlatformCall issue(PlatformRequest request) {
    last_ = last_.next();
    return {last_, std::move(request)};
  }

 private:
  PlatformCallId last_;
};

// One poll: read the head and the next log entries; where the log no longer reaches back, the newest
// snapshot; and so on until the head is reached.
class StoreFollower {
 public:
  // How a poll ended, or that it goes on.
  enum class Progress : uint8_t {
    kNone,      // the reply was of something else, or the poll goes on
    kUpToDate,  // this node holds all that the store had when the poll began
    kFailed,    // the store gave no usable answer; poll again later
  };

  StoreFollower(ReplicaState& state, CallIssuer& calls) : state_(state), calls_(calls) {}

  bool isPolling() const { return call_.has_value(); }
  // Starts a poll unless one runs.
  void poll(absl::Time now, ReplicaActions& actions);
  // Takes a reply, if it is to this poll.
  Progress onReply(const PlatformReply& reply, absl::Time now, ReplicaActions& actions);
  // Gives up a poll whose reply never came.
  Progress onTick(absl::Time now, absl::Duration timeout);

  // When the poll that now runs, or the last one, began.
  absl::Time pollStarted() const { return poll_started_; }
  // The table's version of the head item, valid for a write on top of `headVersion()`.
  uint64_t headItemVersion() const { return head_item_version_; }
  ConfigurationVersion headVersion() const { return head_version_; }
  // Notes what a committed write has made of the head.
  void noteHead(ConfigurationVersion version, uint64_t item_version);

  // The newest snapshot pointer read, and its item's version.
  const SnapshotPointer& snapshotPointer() const { return snapshot_pointer_; }
  uint64_t snapshotItemVersion() const { return snapshot_item_version_; }

 private:
  void readLog(absl::Time now, ReplicaActions& actions);
  Progress onItems(const TableItems& items, absl::Time now, ReplicaActions& actions);
  Progress onSnapshot(const ObjectContent& content, absl::Time now, ReplicaActions& actions);
  // Takes the log entries that follow this node's version. Returns whether there were any.
  bool takeRecords(const TableItems& items);
  bool readHead(const TableItems& items);
  void readSnapshotPointer(const TableItems& items);
  void send(PlatformRequest request, absl::Time now, ReplicaActions& actions);

  ReplicaState& state_;
  CallIssuer& calls_;
  std::optional<PlatformCallId> call_;
  absl::Time call_sent_;
  absl::Time poll_started_ = absl::InfinitePast();
  ConfigurationVersion head_version_;
  uint64_t head_item_version_ = kAbsentItemVersion;
  SnapshotPointer snapshot_pointer_;
  uint64_t snapshot_item_version_ = kAbsentItemVersion;
};

}  // namespace quincewick::configuration
