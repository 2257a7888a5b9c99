// The records of one member, in bounded memory.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "ledger/messages.h"

namespace quincewick::ledger {

struct RecordLimits {
  absl::Duration retention = absl::Hours(24);       // how long an outcome is kept for repeats
  absl::Duration release_delay = absl::Seconds(3);  // how long a released key stays closed
  uint64_t maximum_bytes = 32 * uint64_t{1024} * 1024;
  uint64_t maximum_outcome_bytes = 4096;  // a longer outcome is not kept; repeats learn only that it ran
};

// What there was when a claim asked.
struct ClaimVote {
  Verdict verdict = Verdict::kGranted;   // kGranted, kTaken or kFull
  const ActionRecord* record = nullptr;  // of kTaken; valid until the next change
};

// Never drops a record before its time: when full it refuses new ones. Not thread-safe.
class RecordTable {
 public:
  explicit RecordTable(const RecordLimits& limits) : limits_(limits) {}

  // The record of the key, if it is still held and counts.
  const ActionRecord* find(const ActionKey& key) const;
  // Records the claim unless another one holds the key.
  ClaimVote claim(const ActionRecord& wanted, absl::Time now);
  // Records how the claim ended. A record of another claim, or one that is settled, stays as it is. Returns
  // false when the key has no record and there is no room for one.
  bool complete(ActionRecord ended, absl::Time now);
  // The claim's owner is gone for good: nobody can tell any more whether it dispatched.
  void markUnknown(const ActionKey& key, absl::Time now);
  // Takes over a record from another member; of two the more settled one stays.
  void merge(ActionRecord record);
  // Up to `limit` bytes of records after `after`, at least one if there is any.
  std::vector<ActionRecord> page(const std::optional<ActionKey>& after, size_t limit_bytes) const;
  // Drops up to a bounded number of records whose time is over. Call each second.
  void expire(absl::Time now);

  size_t size() const { return records_.size(); }
  uint64_t memoryBytes() const { return bytes_; }

 private:
  void store(ActionRecord record);
  void withdraw(absl::btree_map<ActionKey, ActionRecord>::iterator entry, const ClaimId& owner);
  void erase(absl::btree_map<ActionKey, ActionRecord>::iterator entry);
  absl::Time expiryOf(const ActionRecord& record) const;

  RecordLimits limits_;
  absl::btree_map<ActionKey, ActionRecord> records_;
  std::optional<ActionKey> sweep_position_;
  uint64_t bytes_ = 0;
};

}  // namespace quincewick::ledger
