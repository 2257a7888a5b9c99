#include "configuration/store_follower.h"

#include <utility>

namespace quincewick::configuration {
namespace {

// The log entries read at once.
constexpr uint64_t kLogWindow = 8;

}  // namespace

void StoreFollower::poll(absl::Time now, ReplicaActions& actions) {
  if (isPolling()) {
    return;
  }
  poll_started_ = now;
  readLog(now, actions);
}

void StoreFollower::readLog(absl::Time now, ReplicaActions& actions) {
  TableRead read;
  read.keys = {kHeadKey, kSnapshotKey};
  for (uint64_t step = 1; step <= kLogWindow; ++step) {
    read.keys.push_back(logKey(ConfigurationVersion(state_.version().value() + step)));
  }
  send(std::move(read), now, actions);
}

void StoreFollower::send(PlatformRequest request, absl::Time now, ReplicaActions& actions) {
  PlatformCall call = calls_.issue(std::move(request));
  call_ = call.id;
  call_sent_ = now;
  actions.emplace_back(std::move(call));
}

StoreFollower::Progress StoreFollower::onTick(absl::Time now, absl::Duration timeout) {
  if (!call_ || now < call_sent_ + timeout) {
    return Progress::kNone;
  }
  call_.reset();
  return Progress::kFailed;
}

StoreFollower::Progress StoreFollower::onReply(const PlatformReply& reply, absl::Time now,
                                               ReplicaActions& actions) {
  if (reply.id != call_) {
    return Progress::kNone;
  }
  call_.reset();
  if (const auto* items = std::get_if<TableItems>(&reply.result)) {
    return onItems(*items, now, actions);
  }
  if (const auto* content = std::get_if<ObjectContent>(&reply.result)) {
    return onSnapshot(*content, now, actions);
  }
  return Progress::kFailed;
}

StoreFollower::Progress StoreFollower::onItems(const TableItems& items, absl::Time now,
                                               ReplicaActions& actions) {
  if (!readHead(items)) {
    return Progress::kFailed;
  }
  readSnapshotPointer(items);
  const bool advanced = takeRecords(items);
  if (state_.version() >= head_version_) {
    // A store that holds less than this node has lost what it had accepted: nothing is confirmed by it.
    return state_.version() == head_version_ ? Progress::kUpToDate : Progress::kFailed;
  }
  if (advanced) {
    readLog(now, actions);
    return Progress::kNone;
  }
  if (snapshot_pointer_.version > state_.version()) {
    send(ObjectGet{snapshotName(snapshot_pointer_.version)}, now, actions);
    return Progress::kNone;
  }
  return Progress::kFailed;
}

bool StoreFollower::readHead(const TableItems& items) {
  const TableItem* item = findItem(items.items, kHeadKey);
  if (item == nullptr) {
    return false;
  }
  StoreHead head;
  if (item->version != kAbsentItemVersion) {
    const Result<StoreHead> decoded = decodeHead(item->value);
    if (!decoded) {
      return false;
    }
    head = decoded.value();
  }
  head_version_ = head.version;
  head_item_version_ = item->version;
  return true;
}

void StoreFollower::readSnapshotPointer(const TableItems& items) {
  const TableItem* item = findItem(items.items, kSnapshotKey);
  if (item == nullptr || item->version == kAbsentItemVersion) {
    return;
  }
  const Result<SnapshotPointer> pointer = decodeSnapshotPointer(item->value);
  if (pointer) {
    snapshot_pointer_ = pointer.value();
    snapshot_item_version_ = item->version;
  }
}

bool StoreFollower::takeRecords(const TableItems& items) {
  bool advanced = false;
  for (uint64_t step = 0; step < kLogWindow; ++step) {
    const TableItem* item = findItem(items.items, logKey(state_.version().next()));
    if (item == nullptr || item->version == kAbsentItemVersion) {
      break;
    }
    const Result<ChangeRecord> record = decodeRecord(item->value);
    if (!record || !state_.take(record.value())) {
      break;
    }
    advanced = true;
  }
  return advanced;
}

StoreFollower::Progress StoreFollower::onSnapshot(const ObjectContent& content, absl::Time now,
                                                  ReplicaActions& actions) {
  Result<Document> document = Document::decode(content.bytes);
  if (!document) {
    return Progress::kFailed;
  }
  state_.takeSnapshot(std::move(document.value()));
  readLog(now, actions);
  return Progress::kNone;
}

void StoreFollower::noteHead(ConfigurationVersion version, uint64_t item_version) {
  if (version > head_version_) {
    head_version_ = version;
    head_item_version_ = item_version;
  }
}

}  // namespace quincewick::configuration
