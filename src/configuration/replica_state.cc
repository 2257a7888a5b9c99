#include "configuration/replica_state.h"

#include <absl/container/btree_map.h>

#include <algorithm>
#include <utility>

namespace quincewick::configuration {
namespace {

// The changes that undo `changes` on top of `document`.
std::vector<ObjectChange> inverse(const std::vector<ObjectChange>& changes, const Document& document) {
  std::vector<ObjectChange> undo;
  undo.reserve(changes.size());
  for (const ObjectChange& change : changes) {
    const auto object = document.objects().find(change.key);
    undo.push_back({change.key, object == document.objects().end() ? std::nullopt : object->second.text});
  }
  return undo;
}

size_t approximateSize(const ChangeRecord& record) {
  constexpr size_t kFixedSize = 64;
  size_t size = kFixedSize;
  for (const ObjectChange& change : record.changes) {
    size += kFixedSize + change.key.value().size() + (change.text ? change.text->size() : 0);
  }
  return size;
}

}  // namespace

bool ReplicaState::take(const ChangeRecord& record) {
  if (record.version != document_.version().next()) {
    return false;
  }
  undo_.push_back(inverse(record.changes, document_));
  history_.push_back(record);
  document_.append(record);
  if (history_.size() > kHistoryLength) {
    history_.pop_front();
    undo_.pop_front();
  }
  return true;
}

bool ReplicaState::takeSnapshot(Document document) {
  if (document.version() <= document_.version()) {
    return false;
  }
  document_ = std::move(document);
  history_.clear();
  undo_.clear();
  return true;
}

std::vector<ChangeRecord> ReplicaState::recordsAfter(ConfigurationVersion version) const {
  std::vector<ChangeRecord> records;
  if (history_.empty() || version < ConfigurationVersion(history_.front().version.value() - 1)) {
    return records;
  }
  size_t size = 0;
  for (size_t index = version.next().value() - history_.front().version.value(); index < history_.size();
       ++index) {
    size += approximateSize(history_[index]);
    if (!records.empty() && size > kChangeBatchSize) {
      break;
    }
    records.push_back(history_[index]);
  }
  return records;
}

Result<std::vector<ObjectChange>> ReplicaState::changesBackTo(ConfigurationVersion version) const {
  if (version > document_.version()) {
    return fail(ErrorCode::kNotFound, "this version does not exist yet");
  }
  const uint64_t steps = document_.version().value() - version.value();
  if (steps > history_.size()) {
    return fail(ErrorCode::kNotFound, "this version is older than the history that this node holds");
  }
  absl::btree_map<ObjectKey, std::optional<std::string>> texts;
  for (size_t step = 0; step < steps; ++step) {
    for (const ObjectChange& change : undo_[undo_.size() - 1 - step]) {
      texts[change.key] = change.text;
    }
  }
  std::vector<ObjectChange> changes;
  for (auto& [key, text] : texts) {
    changes.push_back({key, std::move(text)});
  }
  return document_.effectiveChanges(std::move(changes));
}

void ReplicaState::confirm(absl::Time time) {
  confirmed_at_ = std::max(confirmed_at_, time);
}

Announcement ReplicaState::announcement(absl::Time now) const {
  Announcement announcement;
  announcement.version = document_.version();
  if (isConfirmed()) {
    const int64_t age = absl::ToInt64Milliseconds(now - confirmed_at_);
    announcement.confirmed_age = static_cast<uint32_t>(std::clamp<int64_t>(age, 0, kNeverConfirmed - 1));
  }
  return announcement;
}

}  // namespace quincewick::configuration
