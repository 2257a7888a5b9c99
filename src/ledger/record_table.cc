#include "ledger/record_table.h"

#include <utility>

namespace quincewick::ledger {
namespace {

// Memory of a record besides its texts beyond the strings' own room, with the map's share and slack.
constexpr uint64_t kRecordOverheadBytes = 320;
// Records looked at by one sweep.
constexpr size_t kSweepLength = 2000;

uint64_t memoryOf(const ActionRecord& record) {
  return kRecordOverheadBytes + 2 * (record.key.tenant.value().size() + record.key.key.value().size()) +
         record.owner.node.value().size() + record.outcome.size();
}

// Of two records of one key the higher rank is nearer to the truth.
int settledRank(RecordState state) {
  switch (state) {
    case RecordState::kDone:
      return 3;
    case RecordState::kUnknown:
      return 2;
    case RecordState::kClaimed:
      return 1;
    case RecordState::kReleased:
    case RecordState::kWithdrawn:
      return 0;
  }
  return 0;
}

}  // namespace

const ActionRecord* RecordTable::find(const ActionKey& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

ClaimVote RecordTable::claim(const ActionRecord& wanted, absl::Time now) {
  const auto found = records_.find(wanted.key);
  if (found != records_.end()) {
    const ActionRecord& held = found->second;
    if (held.state == RecordState::kClaimed && held.owner == wanted.owner) {
      return ClaimVote{Verdict::kGranted, nullptr};
    }
    if (now < expiryOf(held)) {
      return ClaimVote{Verdict::kTaken, &held};
    }
    erase(found);
  }
  if (bytes_ + memoryOf(wanted) > limits_.maximum_bytes) {
    return ClaimVote{Verdict::kFull, nullptr};
  }
  store(wanted);
  return ClaimVote{Verdict::kGranted, nullptr};
}

bool RecordTable::complete(ActionRecord ended, absl::Time now) {
  const bool fits = bytes_ + ended.outcome.size() <= limits_.maximum_bytes;
  if (ended.outcome.size() > limits_.maximum_outcome_bytes || !fits) {
    ended.outcome.clear();
  }
  ended.changed_at = now;
  const auto found = records_.find(ended.key);
  if (ended.state == RecordState::kWithdrawn) {
    withdraw(found, ended.owner);
    return true;
  }
  if (found == records_.end()) {
    if (bytes_ + memoryOf(ended) > limits_.maximum_bytes) {
      return false;
    }
    store(std::move(ended));
    return true;
  }
  const ActionRecord& held = found->second;
  const bool same_claim = held.owner == ended.owner;
  const bool settles = settledRank(ended.state) > settledRank(held.state);
  const bool releases = held.state == RecordState::kClaimed && ended.state == RecordState::kReleased;
  const bool ran_under_another = !same_claim && ended.state != RecordState::kReleased && settles;
  if ((same_claim && (settles || releases)) || ran_under_another) {
    erase(found);
    store(std::move(ended));
  }
  return true;
}

void RecordTable::withdraw(absl::btree_map<ActionKey, ActionRecord>::iterator entry, const ClaimId& owner) {
  if (entry != records_.end() && entry->second.owner == owner &&
      entry->second.state == RecordState::kClaimed) {
    erase(entry);
  }
}

void RecordTable::markUnknown(const ActionKey& key, absl::Time now) {
  const auto found = records_.find(key);
  if (found != records_.end() && found->second.state == RecordState::kClaimed) {
    found->second.state = RecordState::kUnknown;
    found->second.changed_at = now;
  }
}

void RecordTable::merge(ActionRecord record) {
  const auto found = records_.find(record.key);
  if (found == records_.end()) {
    store(std::move(record));
    return;
  }
  ActionRecord& held = found->second;
  const int difference = settledRank(record.state) - settledRank(held.state);
  if (difference > 0) {
    erase(found);
    store(std::move(record));
  } else if (difference == 0 && record.state == RecordState::kClaimed && record.owner != held.owner) {
    // Either may have had its majority. Without an owner no release can open the key again.
    ActionRecord unknown = held;
    unknown.owner = ClaimId();
    unknown.state = RecordState::kUnknown;
    erase(found);
    store(std::move(unknown));
  }
}

std::vector<ActionRecord> RecordTable::page(const std::optional<ActionKey>& after, size_t limit_bytes) const {
  std::vector<ActionRecord> records;
  uint64_t bytes = 0;
  auto next = after ? records_.upper_bound(*after) : records_.begin();
  for (; next != records_.end(); ++next) {
    bytes += memoryOf(next->second);
    if (!records.empty() && bytes > limit_bytes) {
      break;
    }
    records.push_back(next->second);
  }
  return records;
}

void RecordTable::expire(absl::Time now) {
  auto next = sweep_position_ ? records_.upper_bound(*sweep_position_) : records_.begin();
  for (size_t looked_at = 0; looked_at < kSweepLength && next != records_.end(); ++looked_at) {
    sweep_position_ = next->first;
    if (now < expiryOf(next->second)) {
      ++next;
      continue;
    }
    bytes_ -= memoryOf(next->second);
    next = records_.erase(next);
  }
  if (next == records_.end()) {
    sweep_position_.reset();
  }
}

void RecordTable::store(ActionRecord record) {
  bytes_ += memoryOf(record);
  ActionKey key = record.key;
  records_.insert_or_assign(std::move(key), std::move(record));
}

void RecordTable::erase(absl::btree_map<ActionKey, ActionRecord>::iterator entry) {
  bytes_ -= memoryOf(entry->second);
  records_.erase(entry);
}

absl::Time RecordTable::expiryOf(const ActionRecord& record) const {
  switch (record.state) {
    case RecordState::kClaimed:
      return absl::InfiniteFuture();  // its owner may still dispatch
    case RecordState::kReleased:
    case RecordState::kWithdrawn:
      return record.changed_at + limits_.release_delay;
    case RecordState::kDone:
    case RecordState::kUnknown:
      return record.changed_at + limits_.retention;
  }
  return absl::InfiniteFuture();
}

}  // namespace quincewick::ledger
