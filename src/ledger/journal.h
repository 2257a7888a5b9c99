// Writes undated keys to the table, many in one transaction, so that they outlive the memory of all nodes.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ledger/events.h"
#include "ledger/outbox.h"

namespace quincewick::ledger {

// Gives out the numbers of one ledger's calls to the platform.
class CallNumbers {
 public:
  PlatformCallId next() { return last_ = last_.next(); }

 private:
  PlatformCallId last_;
};

// What the table's keys of all entries start with.
std::string journalPrefix(const LedgerOptions& options);

enum class JournalStatus : uint8_t {
  kRecorded,   // the entry is in the table under this claim
  kForeign,    // the table holds the key under another claim; its entry is attached
  kNotStored,  // certainly not in the table under this claim
  kUncertain,  // it may be in the table
};

struct JournalResult {
  ClaimId claim;
  JournalStatus status = JournalStatus::kUncertain;
  std::optional<ActionRecord> entry;  // of kForeign; nothing if it can't be read
  uint64_t version = 0;               // of the entry
};

// The coordinator's side of the journal. An entry is written under the condition that its key is absent, so
// two claims never both succeed. Not thread-safe.
class Journal {
 public:
  Journal(const LedgerOptions& options, CallNumbers& calls) : options_(options), calls_(calls) {}

  // Asks for an entry in the place of the one with the version `replaced`, if that is not 0. Its result comes
  // at `deadline`, or within a journal timeout of it when a call is under way then.
  void claim(const ActionRecord& record, uint64_t replaced, absl::Time deadline);
  // Replaces the entry of a settled claim, once, without a result: repeats after the loss of all memory then
  // get the outcome and not just "unknown".
  void settle(const ActionRecord& record);
  // Returns whether the reply was the journal's.
  bool on(const PlatformReply& reply, absl::Time now);
  // True when the table failed lately, so that waiting for it is of no use.
  bool failing(absl::Time now) const { return now < failing_until_; }
  // Sends what is waiting and gives up what is late.
  void tick(absl::Time now, Outbox& out);
  std::vector<JournalResult> takeResults() { return std::exchange(results_, {}); }

 private:
  struct Waiting {
    ActionRecord record;
    uint64_t replaced = 0;
    absl::Time deadline;
    bool may_be_stored = false;  // an earlier transaction's fate is unknown
  };
  struct Batch {
    std::vector<Waiting> entries;
    absl::Time sent_at;
  };
  struct Settlement {
    ActionRecord record;
    uint64_t version = 0;
  };

  std::string tableKey(const ActionKey& key) const;
  void sendClaims(absl::Time now, Outbox& out);
  void sendSettlements(absl::Time now, Outbox& out);
  void committed(const Batch& batch, const TableCommitted& result);
  void conflicted(Batch batch, const TableConflict& result);
  void failed(Batch batch, bool may_be_stored);

  LedgerOptions options_;
  CallNumbers& calls_;
  std::deque<Waiting> waiting_;
  absl::btree_map<PlatformCallId, Batch> in_flight_;
  std::deque<Settlement> settlements_;
  absl::btree_map<ClaimId, uint64_t> versions_;  // of entries whose claims aren't settled yet
  std::vector<JournalResult> results_;
  absl::Time next_send_ = absl::InfinitePast();
  absl::Time next_settlement_ = absl::InfinitePast();
  absl::Time failing_until_ = absl::InfinitePast();
};

}  // namespace quincewick::ledger
