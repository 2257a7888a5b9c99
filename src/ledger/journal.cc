#include "ledger/journal.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace quincewick::ledger {
namespace {

constexpr size_t kMaximumBatch = 64;
// Claims that come while this one is under way make the next, larger batch.
constexpr size_t kMaximumBatchesInFlight = 1;
// Endings are in no hurry and gather for longer.
constexpr absl::Duration kSettlementInterval = absl::Milliseconds(100);
constexpr absl::Duration kFailureMemory = absl::Seconds(2);
constexpr size_t kMaximumSettlements = 4096;
constexpr absl::Duration kRetryDelay = absl::Milliseconds(50);

const TableItem* findItem(const TableConflict& conflict, const std::string& key) {
  const auto found = std::find_if(conflict.items.begin(), conflict.items.end(), [&](const TableItem& item) {
    return item.key == key && item.version != kAbsentItemVersion;
  });
  return found == conflict.items.end() ? nullptr : &*found;
}

}  // namespace

std::string journalPrefix(const LedgerOptions& options) {
  return absl::StrCat("ledger/", options.group, "/claim/");
}

std::string Journal::tableKey(const ActionKey& key) const {
  // The length keeps keys of tenants whose names contain a slash apart.
  return absl::StrCat(journalPrefix(options_), key.tenant.value().size(), "/", key.tenant.value(), "/",
                      key.key.value());
}

void Journal::claim(const ActionRecord& record, uint64_t replaced, absl::Time deadline) {
  waiting_.push_back(Waiting{record, replaced, deadline, false});
}

void Journal::settle(const ActionRecord& record) {
  const auto version = versions_.find(record.owner);
  if (version == versions_.end()) {
    return;
  }
  if (settlements_.size() < kMaximumSettlements) {
    settlements_.push_back(Settlement{record, version->second});
  }
  versions_.erase(version);
}

bool Journal::on(const PlatformReply& reply, absl::Time now) {
  const auto found = in_flight_.find(reply.id);
  if (found == in_flight_.end()) {
    return false;
  }
  Batch batch = std::move(found->second);
  in_flight_.erase(found);
  if (const auto* commit = std::get_if<TableCommitted>(&reply.result)) {
    committed(batch, *commit);
  } else if (const auto* conflict = std::get_if<TableConflict>(&reply.result)) {
    conflicted(std::move(batch), *conflict);
  } else {
    const auto* error = std::get_if<Error>(&reply.result);
    next_send_ = now + kRetryDelay;
    failing_until_ = now + kFailureMemory;
    failed(std::move(batch), error == nullptr || error->execution != Execution::kNotRun ||
                                 error->code == ErrorCode::kOutcomeUnknown);
  }
  return true;
}

void Journal::tick(absl::Time now, Outbox& out) {
  for (auto batch = in_flight_.begin(); batch != in_flight_.end();) {
    if (now < batch->second.sent_at + options_.journal_timeout) {
      ++batch;
      continue;
    }
    Batch late = std::move(batch->second);
    batch = in_flight_.erase(batch);
    failing_until_ = now + kFailureMemory;
    failed(std::move(late), true);
  }
  while (!waiting_.empty()) {
    const auto late = std::find_if(waiting_.begin(), waiting_.end(),
                                   [&](const Waiting& entry) { return entry.deadline <= now; });
    if (late == waiting_.end()) {
      break;
    }
    results_.push_back(
        JournalResult{late->record.owner,
                      late->may_be_stored ? JournalStatus::kUncertain : JournalStatus::kNotStored,
                      {},
                      0});
    waiting_.erase(late);
  }
  if (now >= next_send_) {
    sendClaims(now, out);
    sendSettlements(now, out);
  }
}

void Journal::sendClaims(absl::Time now, Outbox& out) {
  while (!waiting_.empty() && in_flight_.size() < kMaximumBatchesInFlight) {
    Batch batch;
    batch.sent_at = now;
    TableTransaction transaction;
    while (!waiting_.empty() && batch.entries.size() < kMaximumBatch) {
      const ActionRecord& record = waiting_.front().record;
      transaction.conditions.push_back(TableCondition{tableKey(record.key), waiting_.front().replaced});
      transaction.writes.push_back(TableWrite{tableKey(record.key), encodeActionRecord(record)});
      batch.entries.push_back(std::move(waiting_.front()));
      waiting_.pop_front();
    }
    const PlatformCallId id = calls_.next();
    in_flight_.emplace(id, std::move(batch));
    out.add(PlatformCall{id, std::move(transaction)});
  }
}

void Journal::sendSettlements(absl::Time now, Outbox& out) {
  if (now < next_settlement_) {
    return;
  }
  next_settlement_ = now + kSettlementInterval;
  TableTransaction transaction;
  while (!settlements_.empty() && transaction.writes.size() < kMaximumBatch) {
    const Settlement& settlement = settlements_.front();
    const std::string key = tableKey(settlement.record.key);
    transaction.conditions.push_back(TableCondition{key, settlement.version});
    transaction.writes.push_back(TableWrite{key, encodeActionRecord(settlement.record)});
    settlements_.pop_front();
  }
  if (!transaction.writes.empty()) {
    out.add(PlatformCall{calls_.next(), std::move(transaction)});
  }
}

void Journal::committed(const Batch& batch, const TableCommitted& result) {
  for (size_t place = 0; place < batch.entries.size(); ++place) {
    const ClaimId& claim = batch.entries[place].record.owner;
    if (place < result.versions.size()) {
      versions_.insert_or_assign(claim, result.versions[place]);
    }
    results_.push_back(JournalResult{claim, JournalStatus::kRecorded, {}, 0});
  }
}

void Journal::conflicted(Batch batch, const TableConflict& result) {
  for (Waiting& entry : batch.entries) {
    const TableItem* item = findItem(result, tableKey(entry.record.key));
    const uint64_t found_version = item == nullptr ? kAbsentItemVersion : item->version;
    if (found_version == entry.replaced) {
      waiting_.push_back(std::move(entry));  // another key of the batch was in the way
      continue;
    }
    if (item == nullptr) {  // the entry to be replaced is gone
      entry.replaced = kAbsentItemVersion;
      waiting_.push_back(std::move(entry));
      continue;
    }
    const Result<ActionRecord> held = decodeActionRecord(item->value);
    const bool own = held && held.value().owner == entry.record.owner;
    if (own) {
      versions_.insert_or_assign(entry.record.owner, item->version);
      results_.push_back(JournalResult{entry.record.owner, JournalStatus::kRecorded, {}, 0});
    } else {
      results_.push_back(JournalResult{entry.record.owner, JournalStatus::kForeign,
                                       held ? std::optional(held.value()) : std::nullopt, item->version});
    }
  }
}

void Journal::failed(Batch batch, bool may_be_stored) {
  for (Waiting& entry : batch.entries) {
    entry.may_be_stored = entry.may_be_stored || may_be_stored;
    waiting_.push_back(std::move(entry));
  }
}

}  // namespace quincewick::ledger
