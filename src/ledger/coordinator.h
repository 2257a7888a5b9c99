// The part of the node that a caller reached: it claims the key, dispatches, and spreads the outcome.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "ledger/events.h"
#include "ledger/journal.h"
#include "ledger/outbox.h"

namespace quincewick::ledger {

// A claim is dispatched only when a majority of one view granted it and, for an undated key, the journal has
// it or a majority says that the journal isn't promised complete now. A claim that was not dispatched is
// released and its number never used again. One that was dispatched is never released unless the dispatch
// reports that no byte left. Not thread-safe.
class Coordinator {
 public:
  Coordinator(const Member& self, const LedgerOptions& options, CallNumbers& calls);

  // `view` may be null throughout: none is known yet.
  void submit(const SubmitAction& submission, const View* view, absl::Time now, Outbox& out);
  void on(const NodeId& from, const ClaimReply& reply, const View* view, absl::Time now, Outbox& out);
  void on(const NodeId& from, const CompleteReply& reply, const View* view, absl::Time now, Outbox& out);
  void on(const DispatchFinished& finished, const View* view, absl::Time now, Outbox& out);
  // Returns whether the reply was for the journal.
  bool on(const PlatformReply& reply, const View* view, absl::Time now, Outbox& out);
  // Another view is in force.
  void viewChanged(const View& view, absl::Time now, Outbox& out);
  void tick(const View* view, absl::Time now, Outbox& out);

  size_t claimCount() const { return claims_.size(); }

 private:
  enum class Phase : uint8_t { kCollecting, kJournaling, kDispatched, kSettling };

  struct Claim {
    ClaimId id;
    SubmissionId submission;
    ActionKey key;
    BodyHash body;
    Phase phase = Phase::kCollecting;
    absl::Time started;
    absl::Time next_send;
    absl::Time settled_at;
    absl::btree_map<NodeId, ClaimReply> votes;  // of the view in force
    absl::btree_map<NodeId, bool> copies;       // members of the view in force that have the ending
    bool journal_required = false;
    absl::Time forgotten_before = absl::UnixEpoch();
    ActionRecord ending;                 // of kSettling
    std::optional<ActionAnswer> answer;  // not given yet
  };
  using Claims = absl::btree_map<uint64_t, Claim>;

  void requestVotes(Claim& claim, const View& view, absl::Time now, Outbox& out);
  void judgeVotes(Claim& claim, const View& view, absl::Time now, Outbox& out);
  void granted(Claim& claim, absl::Time now, Outbox& out);
  // Gives up a claim that can have no majority, by what the votes say of the key.
  void refused(Claim& claim, const View& view, absl::Time now, Outbox& out);
  // The answer to a claim with a majority that the journal would not take in time.
  ActionAnswer journalMissingAnswer(const Claim& claim, absl::Time now) const;
  void onJournal(const JournalResult& result, const View* view, absl::Time now, Outbox& out);
  void onForeignEntry(Claim& claim, const JournalResult& result, const View* view, absl::Time now,
                      Outbox& out);
  void dispatch(Claim& claim, absl::Time now, Outbox& out);
  // The claim had a majority and will not be dispatched.
  void release(Claim& claim, ActionAnswer answer, const View* view, absl::Time now, Outbox& out);
  // What the votes that came say of a key whose claim ran out of time.
  static ActionAnswer timeoutAnswer(const Claim& claim);
  // The claim had no majority and will not be dispatched.
  void withdraw(Claim& claim, ActionAnswer answer, const View* view, absl::Time now, Outbox& out);
  void settle(Claim& claim, RecordState state, std::string outcome, const View* view, absl::Time now,
              Outbox& out);
  void sendEnding(Claim& claim, const View& view, absl::Time now, Outbox& out);
  // Gives the answer that is due; drops the claim when nothing is left to do.
  void finishSettling(uint64_t sequence, const View* view, absl::Time now, Outbox& out);
  // The member voted too late for a claim that is over: without this its record would never go.
  void repeatEnding(const NodeId& member, const ClaimReply& reply, Outbox& out);
  void answerNow(Claim& claim, Outbox& out);
  Claim* find(const ClaimId& id);

  Member self_;
  LedgerOptions options_;
  Journal journal_;
  Claims claims_;
  absl::btree_map<ActionKey, uint64_t> by_key_;
  absl::btree_map<uint64_t, ActionRecord> undispatched_;  // endings of the last claims that were given up
  uint64_t last_sequence_ = 0;
};

}  // namespace quincewick::ledger
