#include "ledger/coordinator.h"

#include <algorithm>
#include <utility>

#include "ledger/key_date.h"

namespace quincewick::ledger {
namespace {

constexpr size_t kMaximumUndispatched = 4096;
constexpr absl::Duration kRetrySoon = absl::Milliseconds(500);

bool isCurrent(const View* view, Epoch epoch, const NodeId& from, Incarnation incarnation) {
  if (view == nullptr || view->epoch != epoch) {
    return false;
  }
  const Member* member = view->find(from);
  return member != nullptr && member->incarnation == incarnation;
}

ActionAnswer answerFrom(const ActionRecord& record, const BodyHash& body) {
  if (record.body != body) {
    return ActionAnswer{AnswerStatus::kConflict, "", Execution::kNotRun, absl::ZeroDuration()};
  }
  switch (record.state) {
    case RecordState::kDone:
      return ActionAnswer{AnswerStatus::kDone, record.outcome, Execution::kRan, absl::ZeroDuration()};
    case RecordState::kUnknown:
      return ActionAnswer{AnswerStatus::kUnknown, "", Execution::kUnknown, absl::ZeroDuration()};
    case RecordState::kClaimed:
      return ActionAnswer{AnswerStatus::kInProgress, "", Execution::kUnknown, kRetrySoon};
    case RecordState::kReleased:
    case RecordState::kWithdrawn:
      return ActionAnswer{AnswerStatus::kUnavailable, "", Execution::kUnknown, kRetrySoon};
  }
  return ActionAnswer{};
}

ActionAnswer unavailable(absl::Duration retry_after) {
  return ActionAnswer{AnswerStatus::kUnavailable, "", Execution::kUnknown, retry_after};
}

// The key is held by a claim that has to give way, so that of several submissions at once one gets through.
bool heldByYounger(const ClaimReply& vote, const ClaimId& claim) {
  return vote.verdict == Verdict::kTaken && vote.record && vote.record->state == RecordState::kClaimed &&
         claim < vote.record->owner;
}

bool heldByElder(const ClaimReply& vote, const ClaimId& claim) {
  return vote.verdict == Verdict::kTaken && vote.record && vote.record->state == RecordState::kClaimed &&
         vote.record->owner < claim;
}

}  // namespace

Coordinator::Coordinator(const Member& self, const LedgerOptions& options, CallNumbers& calls)
    : self_(self), options_(options), journal_(options, calls) {}

void Coordinator::submit(const SubmitAction& submission, const View* view, absl::Time now, Outbox& out) {
  if (const auto known = by_key_.find(submission.key); known != by_key_.end()) {
    const Claim& claim = claims_.at(known->second);
    ActionRecord record = claim.ending;
    if (claim.phase != Phase::kSettling) {
      record.state = RecordState::kClaimed;
    }
    record.body = claim.body;
    out.add(AnswerAction{submission.submission, answerFrom(record, submission.body)});
    return;
  }
  if (claims_.size() >= options_.maximum_claims) {
    out.add(AnswerAction{submission.submission,
                         ActionAnswer{AnswerStatus::kFull, "", Execution::kUnknown, kRetrySoon}});
    return;
  }
  const uint64_t sequence = ++last_sequence_;
  Claim& claim = claims_[sequence];
  claim.id = ClaimId{self_.node, self_.incarnation, sequence};
  claim.submission = submission.submission;
  claim.key = submission.key;
  claim.body = submission.body;
  claim.started = now;
  claim.next_send = now;
  by_key_.emplace(claim.key, sequence);
  if (view != nullptr) {
    requestVotes(claim, *view, now, out);
  }
}

void Coordinator::requestVotes(Claim& claim, const View& view, absl::Time now, Outbox& out) {
  claim.next_send = now + options_.resend_interval;
  for (const Member& member : view.members) {
    const auto vote = claim.votes.find(member.node);
    if (vote == claim.votes.end() || heldByYounger(vote->second, claim.id)) {
      out.send(member.node, ClaimRequest{view.epoch, claim.id, claim.key, claim.body});
    }
  }
}

void Coordinator::on(const NodeId& from, const ClaimReply& reply, const View* view, absl::Time now,
                     Outbox& out) {
  Claim* claim = find(reply.claim);
  if (reply.verdict == Verdict::kGranted && reply.claim.node == self_.node) {
    repeatEnding(from, reply, out);
  }
  if (claim == nullptr || claim->phase != Phase::kCollecting || reply.verdict == Verdict::kWrongView ||
      !isCurrent(view, reply.epoch, from, reply.incarnation)) {
    return;
  }
  claim->votes.insert_or_assign(from, reply);
  judgeVotes(*claim, *view, now, out);
}

void Coordinator::judgeVotes(Claim& claim, const View& view, absl::Time now, Outbox& out) {
  size_t granted_count = 0;
  size_t unbound_count = 0;  // grants that don't require the journal
  for (const auto& [node, vote] : claim.votes) {
    if (vote.verdict == Verdict::kGranted) {
      ++granted_count;
      unbound_count += vote.journal_required ? 0 : 1;
      claim.forgotten_before = std::max(claim.forgotten_before, vote.forgotten_before);
    }
  }
  if (granted_count >= view.majority()) {
    claim.journal_required = unbound_count < view.majority();
    granted(claim, now, out);
    return;
  }
  size_t refused_count = 0;
  bool elder_holds = false;
  bool done = false;
  absl::btree_map<ClaimId, size_t> younger_holds;
  for (const auto& [node, vote] : claim.votes) {
    elder_holds = elder_holds || heldByElder(vote, claim.id);
    done = done || (vote.record && vote.record->state == RecordState::kDone);
    if (heldByYounger(vote, claim.id)) {
      refused_count += ++younger_holds[vote.record->owner] >= view.majority() ? view.fence() : 0;
    } else if (vote.verdict != Verdict::kGranted) {
      ++refused_count;
    }
  }
  if (done || elder_holds || refused_count >= view.fence()) {
    refused(claim, view, now, out);
  }
}

void Coordinator::granted(Claim& claim, absl::Time now, Outbox& out) {
  if (keyDate(claim.key.key)) {
    dispatch(claim, now, out);
    return;
  }
  if (!claim.journal_required && journal_.failing(now)) {
    dispatch(claim, now, out);
    return;
  }
  claim.phase = Phase::kJournaling;
  const absl::Duration patience =
      claim.journal_required ? options_.journal_timeout : options_.journal_patience;
  const ActionRecord entry{claim.key, claim.body, claim.id, RecordState::kClaimed, "", now};
  journal_.claim(entry, kAbsentItemVersion, now + patience);
  journal_.tick(now, out);
}

void Coordinator::refused(Claim& claim, const View& view, absl::Time now, Outbox& out) {
  // The most telling vote decides: an ended action before one in progress before any other refusal.
  const auto weight = [](const ClaimReply& vote) {
    if (vote.verdict == Verdict::kTaken && vote.record) {
      return 10 + (vote.record->state == RecordState::kDone      ? 3
                   : vote.record->state == RecordState::kUnknown ? 2
                   : vote.record->state == RecordState::kClaimed ? 1
                                                                 : 0);
    }
    return vote.verdict == Verdict::kForgotten ? 9 : 0;
  };
  const auto telling = std::max_element(
      claim.votes.begin(), claim.votes.end(),
      [&](const auto& left, const auto& right) { return weight(left.second) < weight(right.second); });
  const ClaimReply vote = telling->second;
  switch (vote.verdict) {
    case Verdict::kTaken:
      withdraw(claim, vote.record ? answerFrom(*vote.record, claim.body) : unavailable(kRetrySoon), &view,
               now, out);
      return;
    case Verdict::kForgotten:
      withdraw(claim, ActionAnswer{AnswerStatus::kUnknown, "", Execution::kUnknown, absl::ZeroDuration()},
               &view, now, out);
      return;
    case Verdict::kFull:
      withdraw(claim, ActionAnswer{AnswerStatus::kFull, "", Execution::kUnknown, absl::Seconds(10)}, &view,
               now, out);
      return;
    case Verdict::kDateAhead:
      withdraw(claim, ActionAnswer{AnswerStatus::kInvalidKey, "", Execution::kUnknown, absl::ZeroDuration()},
               &view, now, out);
      return;
    case Verdict::kGranted:
    case Verdict::kWrongView:
      return;
  }
}

bool Coordinator::on(const PlatformReply& reply, const View* view, absl::Time now, Outbox& out) {
  if (!journal_.on(reply, now)) {
    return false;
  }
  for (const JournalResult& result : journal_.takeResults()) {
    onJournal(result, view, now, out);
  }
  journal_.tick(now, out);
  return true;
}

void Coordinator::onJournal(const JournalResult& result, const View* view, absl::Time now, Outbox& out) {
  Claim* claim = find(result.claim);
  if (claim == nullptr || claim->phase != Phase::kJournaling) {
    return;
  }
  switch (result.status) {
    case JournalStatus::kRecorded:
      dispatch(*claim, now, out);
      return;
    case JournalStatus::kForeign:
      onForeignEntry(*claim, result, view, now, out);
      return;
    case JournalStatus::kNotStored:
    case JournalStatus::kUncertain:
      if (claim->journal_required) {
        release(*claim, journalMissingAnswer(*claim, now), view, now, out);
      } else {
        dispatch(*claim, now, out);
      }
      return;
  }
}

ActionAnswer Coordinator::journalMissingAnswer(const Claim& claim, absl::Time now) const {
  // Where the majority's memory is whole, the key is new and nothing ran. Else the journal may hold it.
  const bool memory_is_whole = claim.forgotten_before + options_.retention < now;
  if (memory_is_whole) {
    return ActionAnswer{AnswerStatus::kNotRun, "", Execution::kNotRun, options_.journal_promise};
  }
  return unavailable(options_.journal_promise);
}

void Coordinator::onForeignEntry(Claim& claim, const JournalResult& result, const View* view, absl::Time now,
                                 Outbox& out) {
  if (!result.entry) {
    settle(claim, RecordState::kUnknown, "", view, now, out);
    return;
  }
  const ActionRecord& entry = *result.entry;
  // The majority that granted this claim would know of an entry made since its memory begins.
  const bool void_entry = entry.state == RecordState::kReleased ||
                          entry.changed_at > claim.forgotten_before ||
                          entry.changed_at + options_.retention < now;
  if (void_entry) {
    const ActionRecord own{claim.key, claim.body, claim.id, RecordState::kClaimed, "", now};
    journal_.claim(own, result.version, now + options_.journal_timeout);
    return;
  }
  const RecordState state = entry.state == RecordState::kDone ? RecordState::kDone : RecordState::kUnknown;
  const BodyHash asked = claim.body;
  claim.body = entry.body;
  settle(claim, state, entry.outcome, view, now, out);
  claim.answer = answerFrom(claim.ending, asked);
}

void Coordinator::dispatch(Claim& claim, absl::Time now, Outbox& out) {
  // A node that was paused in between leaves the key alone: nobody can tell how long ago the votes were cast.
  const absl::Duration limit = options_.claim_timeout + options_.journal_timeout + options_.claim_timeout;
  if (now > claim.started + limit) {
    release(claim, ActionAnswer{AnswerStatus::kNotRun, "", Execution::kNotRun, kRetrySoon}, nullptr, now,
            out);
    return;
  }
  claim.phase = Phase::kDispatched;
  out.add(DispatchAction{claim.id, claim.submission, claim.key});
}

void Coordinator::on(const DispatchFinished& finished, const View* view, absl::Time now, Outbox& out) {
  Claim* claim = find(finished.claim);
  if (claim == nullptr || claim->phase != Phase::kDispatched) {
    return;
  }
  switch (finished.result) {
    case DispatchResult::kDone:
      settle(*claim, RecordState::kDone, finished.outcome, view, now, out);
      return;
    case DispatchResult::kUncertain:
      settle(*claim, RecordState::kUnknown, "", view, now, out);
      return;
    case DispatchResult::kNotSent:
      release(*claim, ActionAnswer{AnswerStatus::kNotRun, "", Execution::kNotRun, kRetrySoon}, view, now,
              out);
      return;
  }
}

ActionAnswer Coordinator::timeoutAnswer(const Claim& claim) {
  for (const auto& [node, vote] : claim.votes) {
    if (vote.verdict == Verdict::kTaken && vote.record) {
      return answerFrom(*vote.record, claim.body);
    }
  }
  return unavailable(kRetrySoon);
}

void Coordinator::withdraw(Claim& claim, ActionAnswer answer, const View* view, absl::Time now, Outbox& out) {
  out.add(AnswerAction{claim.submission, std::move(answer)});
  for (const auto& [node, vote] : claim.votes) {
    if (vote.verdict != Verdict::kGranted) {
      claim.copies.insert_or_assign(node, true);  // it holds nothing of this claim
    }
  }
  settle(claim, RecordState::kWithdrawn, "", view, now, out);
}

void Coordinator::release(Claim& claim, ActionAnswer answer, const View* view, absl::Time now, Outbox& out) {
  out.add(AnswerAction{claim.submission, std::move(answer)});
  settle(claim, RecordState::kReleased, "", view, now, out);
}

void Coordinator::settle(Claim& claim, RecordState state, std::string outcome, const View* view,
                         absl::Time now, Outbox& out) {
  claim.phase = Phase::kSettling;
  claim.settled_at = now;
  claim.ending = ActionRecord{claim.key, claim.body, claim.id, state, std::move(outcome), now};
  const bool ended = state == RecordState::kDone || state == RecordState::kUnknown;
  if (ended) {
    claim.answer = answerFrom(claim.ending, claim.body);
  }
  journal_.settle(claim.ending);
  if (!ended) {
    undispatched_.emplace(claim.id.sequence, claim.ending);
    if (undispatched_.size() > kMaximumUndispatched) {
      undispatched_.erase(undispatched_.begin());
    }
  }
  if (view != nullptr) {
    sendEnding(claim, *view, now, out);
  }
}

void Coordinator::sendEnding(Claim& claim, const View& view, absl::Time now, Outbox& out) {
  // Ever more slowly, so that a lost majority isn't flooded.
  claim.next_send = now + std::max(options_.resend_interval, (now - claim.settled_at) / 2);
  for (const Member& member : view.members) {
    if (claim.copies.count(member.node) == 0) {
      out.send(member.node, CompleteRequest{view.epoch, claim.ending});
    }
  }
}

void Coordinator::on(const NodeId& from, const CompleteReply& reply, const View* view, absl::Time now,
                     Outbox& out) {
  Claim* claim = find(reply.claim);
  if (claim == nullptr || claim->phase != Phase::kSettling ||
      !isCurrent(view, reply.epoch, from, reply.incarnation)) {
    return;
  }
  claim->copies.insert_or_assign(from, true);
  finishSettling(reply.claim.sequence, view, now, out);
}

void Coordinator::finishSettling(uint64_t sequence, const View* view, absl::Time now, Outbox& out) {
  const auto found = claims_.find(sequence);
  Claim& claim = found->second;
  const bool copied = view != nullptr && claim.copies.size() >= view->majority();
  if (claim.answer && (copied || now >= claim.settled_at + options_.settle_patience)) {
    answerNow(claim, out);
  }
  const bool everywhere = view != nullptr && claim.copies.size() == view->members.size();
  const bool late = now >= claim.settled_at + (copied ? options_.claim_timeout : options_.settle_timeout);
  if (everywhere || late) {
    by_key_.erase(claim.key);
    claims_.erase(found);
  }
}

void Coordinator::repeatEnding(const NodeId& member, const ClaimReply& reply, Outbox& out) {
  const auto ending = undispatched_.find(reply.claim.sequence);
  if (ending != undispatched_.end() && reply.claim.incarnation == self_.incarnation) {
    out.send(member, CompleteRequest{reply.epoch, ending->second});
  }
}

void Coordinator::answerNow(Claim& claim, Outbox& out) {
  out.add(AnswerAction{claim.submission, std::move(*claim.answer)});
  claim.answer.reset();
}

void Coordinator::viewChanged(const View& view, absl::Time now, Outbox& out) {
  for (auto& [sequence, claim] : claims_) {
    claim.copies.clear();
    if (claim.phase == Phase::kCollecting) {
      claim.votes.clear();
      requestVotes(claim, view, now, out);
    } else if (claim.phase == Phase::kSettling) {
      sendEnding(claim, view, now, out);
    }
  }
}

void Coordinator::tick(const View* view, absl::Time now, Outbox& out) {
  journal_.tick(now, out);
  for (const JournalResult& result : journal_.takeResults()) {
    onJournal(result, view, now, out);
  }
  std::vector<uint64_t> settling;
  for (auto& [sequence, claim] : claims_) {
    if (claim.phase == Phase::kCollecting && now >= claim.started + options_.claim_timeout) {
      withdraw(claim, timeoutAnswer(claim), view, now, out);
    } else if (claim.phase == Phase::kCollecting && view != nullptr && now >= claim.next_send) {
      requestVotes(claim, *view, now, out);
    } else if (claim.phase == Phase::kSettling) {
      settling.push_back(sequence);
    }
  }
  for (const uint64_t sequence : settling) {
    Claim& claim = claims_.at(sequence);
    if (view != nullptr && now >= claim.next_send) {
      sendEnding(claim, *view, now, out);
    }
    finishSettling(sequence, view, now, out);
  }
}

Coordinator::Claim* Coordinator::find(const ClaimId& id) {
  if (id.node != self_.node || id.incarnation != self_.incarnation) {
    return nullptr;
  }
  const auto found = claims_.find(id.sequence);
  return found == claims_.end() ? nullptr : &found->second;
}

}  // namespace quincewick::ledger
