// Keeps the view's record in the table: finds it, replaces lost members, promises that the journal is
// complete.
#pragma once

#include <absl/container/btree_set.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>

#include "ledger/events.h"
#include "ledger/journal.h"
#include "ledger/outbox.h"
#include "ledger/peer_table.h"
#include "ledger/replica.h"

namespace quincewick::ledger {

// A view changes by one compare-and-set of its record; the members then take over without the table. A change
// is proposed only where enough members of the old view can be stopped, so a cut-off minority that reaches
// the table doesn't stop the majority. Not thread-safe.
class ViewKeeper {
 public:
  ViewKeeper(const Member& self, const LedgerOptions& options, CallNumbers& calls);

  // Returns whether the reply was this object's; then `found` may hold a record to adopt.
  bool on(const PlatformReply& reply, const PeerTable& peers, const Replica& replica, absl::Time now,
          Outbox& out, std::optional<ViewRecord>& found);
  void on(const NodeId& from, const PromiseReply& reply, const Replica& replica, absl::Time now, Outbox& out);
  void tick(const PeerTable& peers, const Replica& replica, absl::Time now, absl::BitGenRef random,
            Outbox& out);
  // True on the one member that keeps the journal in order.
  bool isPromiser(const PeerTable& peers, const Replica& replica) const;
  // Tells all reachable nodes of the record.
  static void announce(const ViewRecord& record, const PeerTable& peers, Outbox& out);

 private:
  enum class CallKind : uint8_t { kRead, kPropose, kPromise };
  struct Call {
    PlatformCallId id;
    CallKind kind = CallKind::kRead;
    absl::Time sent_at;
    ViewRecord wanted;  // of kPropose and kPromise
  };

  std::string tableKey() const;
  void send(CallKind kind, PlatformRequest request, ViewRecord wanted, absl::Time now, Outbox& out);
  void write(CallKind kind, ViewRecord wanted, absl::Time now, Outbox& out);
  // Takes up what the table holds.
  void learn(const TableItem& item, std::optional<ViewRecord>& found);
  // `prompt`: the read was quick enough for undated actions to wait for the table.
  void afterRead(const PeerTable& peers, const Replica& replica, bool prompt, absl::Time now, Outbox& out);
  // The members of the view that should come next, if another one should.
  std::optional<std::vector<Member>> wantedMembers(const PeerTable& peers, const Replica& replica,
                                                   absl::Time now) const;
  bool canBeStopped(const View& view, const PeerTable& peers) const;
  void watchMembers(const PeerTable& peers, const Replica& replica, absl::Time now);
  absl::Duration proposalDelay(const PeerTable& peers, const Replica& replica) const;
  ViewRecord successor(std::vector<Member> members, const Replica& replica, absl::Time now) const;
  void gossip(const PeerTable& peers, const Replica& replica, absl::Time now, absl::BitGenRef random,
              Outbox& out);
  void beginPromise(const Replica& replica, absl::Time now, Outbox& out);
  OperationId nextOperation();

  Member self_;
  LedgerOptions options_;
  CallNumbers& calls_;
  std::optional<Call> call_;
  bool table_read_ = false;  // the table's state was known once
  uint64_t version_ = kAbsentItemVersion;
  std::optional<ViewRecord> table_record_;
  uint64_t operations_ = 0;
  int call_failures_ = 0;                   // in a row
  std::optional<absl::Time> wanted_since_;  // a change of members has been due
  absl::Time next_call_ = absl::InfinitePast();
  absl::Time next_gossip_ = absl::InfinitePast();
  absl::Time next_promise_ = absl::InfinitePast();
  absl::Time promise_until_ = absl::InfinitePast();  // of the promise that members are asked about
  absl::btree_set<NodeId> promise_replies_;
};

}  // namespace quincewick::ledger
