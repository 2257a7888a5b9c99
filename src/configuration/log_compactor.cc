#include "configuration/log_compactor.h"

#include <absl/random/distributions.h>

#include <utility>

namespace quincewick::configuration {
namespace {

// The records moved in one go.
constexpr uint32_t kMaximumMoved = 256;
// A relay steps in when a snapshot is overdue by this share of the interval, with this chance a poll.
constexpr double kOverdueShare = 0.25;
constexpr double kRelayChance = 0.25;

}  // namespace

void LogCompactor::onAccepted(ConfigurationVersion version, absl::Time now, ReplicaActions& actions) {
  if (version.value() % settings_.snapshot_interval == 0) {
    start(now, actions);
  }
}

void LogCompactor::onPolled(absl::Time now, absl::BitGenRef random, ReplicaActions& actions) {
  const double interval = static_cast<double>(settings_.snapshot_interval);
  const double behind = static_cast<double>(state_.version().value()) -
                        static_cast<double>(follower_.snapshotPointer().version.value());
  if (behind >= interval * (1 + kOverdueShare) && absl::Bernoulli(random, kRelayChance)) {
    start(now, actions);
  }
}

void LogCompactor::start(absl::Time now, ReplicaActions& actions) {
  if (step_ != Step::kIdle || state_.version() <= follower_.snapshotPointer().version) {
    return;
  }
  snapshot_version_ = state_.version();
  send(Step::kPutSnapshot, ObjectPut{snapshotName(snapshot_version_), state_.document().encode()}, now,
       actions);
}

void LogCompactor::onTick(absl::Time now) {
  if (step_ != Step::kIdle && now >= call_sent_ + settings_.store_call_timeout) {
    step_ = Step::kIdle;
    call_.reset();
  }
}

void LogCompactor::onReply(const PlatformReply& reply, absl::Time now, ReplicaActions& actions) {
  if (reply.id != call_) {
    return;
  }
  call_.reset();
  const Step step = std::exchange(step_, Step::kIdle);
  if (step == Step::kPutSnapshot && std::holds_alternative<ObjectStored>(reply.result)) {
    movePointer(now, actions);
  } else if (step == Step::kMovePointer && std::holds_alternative<TableCommitted>(reply.result)) {
    readLog(now, actions);
  } else if (step == Step::kReadLog && std::holds_alternative<TableItems>(reply.result)) {
    putAudit(std::get<TableItems>(reply.result), now, actions);
  } else if (step == Step::kPutAudit && std::holds_alternative<ObjectStored>(reply.result)) {
    deleteRecords(now, actions);
  }
}

void LogCompactor::movePointer(absl::Time now, ReplicaActions& actions) {
  const SnapshotPointer& present = follower_.snapshotPointer();
  if (present.version >= snapshot_version_) {
    return;
  }
  obsolete_snapshot_ = present.previous;
  TableTransaction transaction;
  transaction.conditions.push_back({kSnapshotKey, follower_.snapshotItemVersion()});
  transaction.writes.push_back({kSnapshotKey, encodeSnapshotPointer({snapshot_version_, present.version})});
  send(Step::kMovePointer, std::move(transaction), now, actions);
}

void LogCompactor::readLog(absl::Time now, ReplicaActions& actions) {
  if (obsolete_snapshot_.value() > 0) {
    // Its reply is not awaited: an object left over does no harm.
    actions.emplace_back(calls_.issue(ObjectDelete{snapshotName(obsolete_snapshot_)}));
  }
  send(Step::kReadLog, TableScan{kLogPrefix, "", kMaximumMoved}, now, actions);
}

void LogCompactor::putAudit(const TableItems& items, absl::Time now, ReplicaActions& actions) {
  // Nodes that are a little behind still find their records: one interval stays before the snapshot.
  const uint64_t kept = settings_.snapshot_interval;
  const uint64_t bound = snapshot_version_.value() > kept ? snapshot_version_.value() - kept : 0;
  AuditSegment segment;
  archived_.clear();
  for (const TableItem& item : items.items) {
    Result<ChangeRecord> record = decodeRecord(item.value);
    if (!record || record.value().version.value() > bound) {
      break;
    }
    archived_.push_back(record.value().version);
    segment.records.push_back(std::move(record.value()));
  }
  if (archived_.empty()) {
    return;
  }
  send(Step::kPutAudit,
       ObjectPut{auditName(archived_.front(), archived_.back()), encodeAuditSegment(segment)}, now, actions);
}

void LogCompactor::deleteRecords(absl::Time now, ReplicaActions& actions) {
  TableTransaction transaction;
  for (const ConfigurationVersion version : archived_) {
    transaction.writes.push_back({logKey(version), std::nullopt});
  }
  send(Step::kDeleteRecords, std::move(transaction), now, actions);
}

void LogCompactor::send(Step step, PlatformRequest request, absl::Time now, ReplicaActions& actions) {
  PlatformCall call = calls_.issue(std::move(request));
  step_ = step;
  call_ = call.id;
  call_sent_ = now;
  actions.emplace_back(std::move(call));
}

}  // namespace quincewick::configuration
