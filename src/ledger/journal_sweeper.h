// Deletes the journal's entries whose time is over, so that the table stays bounded.
#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string>

#include "ledger/events.h"
#include "ledger/journal.h"
#include "ledger/outbox.h"

namespace quincewick::ledger {

// Walks through the journal, one scan after the other, as long as its node is the one responsible. Not
// thread-safe.
class JournalSweeper {
 public:
  JournalSweeper(const LedgerOptions& options, CallNumbers& calls) : options_(options), calls_(calls) {}

  // Returns whether the reply was the sweeper's.
  bool on(const PlatformReply& reply, absl::Time now, Outbox& out);
  void tick(bool responsible, absl::Time now, Outbox& out);

 private:
  void sweep(const TableItems& items, absl::Time now, Outbox& out);

  LedgerOptions options_;
  CallNumbers& calls_;
  std::optional<PlatformCallId> scan_;
  std::string after_;
  absl::Time next_scan_ = absl::InfinitePast();
};

}  // namespace quincewick::ledger
