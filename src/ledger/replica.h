// A member's part: it votes on claims in one view at a time, and takes over the records of the view before.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <optional>

#include "ledger/events.h"
#include "ledger/outbox.h"
#include "ledger/peer_table.h"
#include "ledger/record_table.h"

namespace quincewick::ledger {

// Holds the newest view record that the node knows, be it a member or not.
//
// A member votes only after it has taken over from every predecessor view: enough of its members are stopped
// (they promised never to vote in it again, or that life of theirs is over) that no claim can succeed there
// any more, and the records of those that still had them are merged. When too few still had them, any claim
// of before may be lost; then the member refuses every key that may be older than the takeover, for ever. Not
// thread-safe.
class Replica {
 public:
  Replica(const Member& self, const LedgerOptions& options);

  const ViewRecord* record() const { return record_ ? &*record_ : nullptr; }
  // True when this node votes in the view that it knows.
  bool voting() const { return voting_; }
  // Takes up a record that the table holds or held, if it is newer. Returns whether it was.
  bool adopt(const ViewRecord& record, const PeerTable& peers, absl::Time now, Outbox& out);

  void on(const NodeId& from, const ClaimRequest& request, const PeerTable& peers, absl::Time now,
          Outbox& out);
  void on(const NodeId& from, const CompleteRequest& request, absl::Time now, Outbox& out);
  void on(const NodeId& from, const TakeoverRequest& request, Outbox& out);
  void on(const NodeId& from, const TakeoverReply& reply, const PeerTable& peers, absl::Time now,
          Outbox& out);
  void on(const NodeId& from, const PromiseRequest& request, Outbox& out);
  // Sends the newer view record to the peer, or asks for it.
  void bringUpToDate(const NodeId& peer, Epoch epoch_of_peer, Outbox& out) const;
  // Asks again where an answer is missing, and drops records whose time is over.
  void tick(const PeerTable& peers, absl::Time now, Outbox& out);

  const RecordTable& records() const { return records_; }
  // Keys dated up to here may have been forgotten.
  absl::Time forgottenBefore() const { return forgotten_before_; }
  // Until then undated keys may have been forgotten.
  absl::Time undatedForgottenUntil() const { return undated_forgotten_until_; }

 private:
  // What was taken over from one member of a predecessor view.
  struct Source {
    bool finished = false;  // promised, and all its records are here
    bool holds_predecessors = false;
    std::optional<ActionKey> after;
  };
  // By the predecessor's epoch and the member.
  using Sources = absl::btree_map<std::pair<Epoch, NodeId>, Source>;

  bool isMember() const;
  void askSources(const PeerTable& peers, Outbox& out);
  void finishTakeover(const PeerTable& peers, absl::Time now);
  size_t finishedMembers(const View& view) const;
  size_t stoppedMembers(const View& view, const PeerTable& peers) const;
  // True while a member that may still have records hasn't handed them over.
  bool sourcesOutstanding(const PeerTable& peers) const;
  bool somethingLost() const;
  // Undated keys of the lost views may be missing from the journal until this time.
  absl::Time undatedLossUntil(absl::Time now) const;
  // kGranted when the key can't have been forgotten.
  Verdict judgeAge(const ActionKey& key, absl::Time now) const;

  Member self_;
  LedgerOptions options_;
  RecordTable records_;
  std::optional<ViewRecord> record_;
  bool voting_ = false;
  Epoch taken_over_epoch_;  // the last epoch in which this life voted; 0: none
  Epoch promised_epoch_;    // never votes below
  Sources sources_;
  absl::Time lossy_takeover_at_ = absl::InfinitePast();  // until then a whole takeover is waited for
  absl::Time next_ask_ = absl::InfinitePast();
  absl::Time next_expiry_ = absl::InfinitePast();
  absl::Time forgotten_before_ = absl::UnixEpoch();
  absl::Time undated_forgotten_until_ = absl::UnixEpoch();
  absl::Time journal_binding_until_ = absl::UnixEpoch();
  absl::Time journal_promise_ = absl::UnixEpoch();
};

}  // namespace quincewick::ledger
