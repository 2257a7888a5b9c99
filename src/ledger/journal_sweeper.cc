#include "ledger/journal_sweeper.h"

#include <utility>

namespace quincewick::ledger {
namespace {

constexpr uint32_t kScanLimit = 200;
// With the limit above: up to 40 entries a second at 0.4 calls a second.
constexpr absl::Duration kScanInterval = absl::Seconds(5);

}  // namespace

void JournalSweeper::tick(bool responsible, absl::Time now, Outbox& out) {
  if (!responsible || now < next_scan_) {
    return;
  }
  next_scan_ = now + kScanInterval;
  scan_ = calls_.next();
  out.add(PlatformCall{*scan_, TableScan{journalPrefix(options_), after_, kScanLimit}});
}

bool JournalSweeper::on(const PlatformReply& reply, absl::Time now, Outbox& out) {
  if (!scan_ || *scan_ != reply.id) {
    return false;
  }
  scan_.reset();
  if (const auto* items = std::get_if<TableItems>(&reply.result)) {
    sweep(*items, now, out);
  }
  return true;
}

void JournalSweeper::sweep(const TableItems& items, absl::Time now, Outbox& out) {
  TableTransaction deletion;
  for (const TableItem& item : items.items) {
    const Result<ActionRecord> entry = decodeActionRecord(item.value);
    if (entry && entry.value().changed_at + options_.retention + 2 * options_.clock_error < now) {
      deletion.conditions.push_back(TableCondition{item.key, item.version});
      deletion.writes.push_back(TableWrite{item.key, std::nullopt});
    }
  }
  const bool at_end = items.items.size() < kScanLimit;
  after_ = at_end ? "" : items.items.back().key;
  if (!deletion.writes.empty()) {
    out.add(PlatformCall{calls_.next(), std::move(deletion)});
  }
}

}  // namespace quincewick::ledger
