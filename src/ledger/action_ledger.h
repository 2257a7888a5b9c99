// Runs each action at most once for its tenant's key, over all nodes of the site.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <deque>
#include <vector>

#include "ledger/coordinator.h"
#include "ledger/events.h"
#include "ledger/journal.h"
#include "ledger/journal_sweeper.h"
#include "ledger/outbox.h"
#include "ledger/peer_table.h"
#include "ledger/replica.h"
#include "ledger/view_keeper.h"

namespace quincewick::ledger {

// One node's share of the ledger, in one of its lives. It holds no thread and no clock: feed it every event
// in the order of arrival, and carry out the actions in their order. Messages may be lost, repeated, late and
// crossed. Not thread-safe. docs/design/action_ledger.md says why this is safe.
class ActionLedger {
 public:
  // `self.incarnation` must be greater than in any earlier life of this node.
  ActionLedger(const Member& self, const LedgerOptions& options);
  // The parts share the calls' numbers by reference.
  ActionLedger(const ActionLedger&) = delete;
  ActionLedger& operator=(const ActionLedger&) = delete;

  std::vector<LedgerAction> handle(const LedgerEvent& event, absl::Time now, absl::BitGenRef random);

  // For status pages and metrics.
  const ViewRecord* view() const { return replica_.record(); }
  bool voting() const { return replica_.voting(); }
  size_t recordCount() const { return replica_.records().size(); }
  uint64_t recordBytes() const { return replica_.records().memoryBytes(); }
  size_t claimCount() const { return coordinator_.claimCount(); }

 private:
  void on(const SubmitAction& event, absl::Time now, absl::BitGenRef random);
  void on(const DispatchFinished& event, absl::Time now, absl::BitGenRef random);
  void on(const PeerMessage& event, absl::Time now, absl::BitGenRef random);
  void on(const PeersChanged& event, absl::Time now, absl::BitGenRef random);
  void on(const PlatformReply& event, absl::Time now, absl::BitGenRef random);
  void on(const Tick& event, absl::Time now, absl::BitGenRef random);
  void receive(const NodeId& from, const Message& message, absl::Time now);
  void adopt(const ViewRecord& record, bool announce, absl::Time now);
  const View* currentView() const {
    return replica_.record() == nullptr ? nullptr : &replica_.record()->view;
  }

  Member self_;
  CallNumbers calls_;
  PeerTable peers_;
  Replica replica_;
  Coordinator coordinator_;
  ViewKeeper view_keeper_;
  JournalSweeper sweeper_;
  Outbox out_;
};

}  // namespace quincewick::ledger
