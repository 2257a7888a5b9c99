#include "ledger/replica.h"

#include <algorithm>
#include <utility>

#include "ledger/key_date.h"

namespace quincewick::ledger {
namespace {

// Of records in one TakeoverReply, as memory; their encoding is smaller.
constexpr size_t kPageBytes = 16 * size_t{1024};
constexpr absl::Duration kExpiryInterval = absl::Seconds(1);

RecordLimits limitsOf(const LedgerOptions& options) {
  RecordLimits limits;
  limits.retention = options.retention;
  limits.release_delay = options.release_delay;
  limits.maximum_bytes = options.maximum_record_bytes;
  limits.maximum_outcome_bytes = options.maximum_outcome_bytes;
  return limits;
}

bool names(const View& view, const Member& member) {
  const Member* found = view.find(member.node);
  return found != nullptr && found->incarnation == member.incarnation;
}

}  // namespace

Replica::Replica(const Member& self, const LedgerOptions& options)
    : self_(self), options_(options), records_(limitsOf(options)) {}

bool Replica::isMember() const {
  return record_ && names(record_->view, self_);
}

bool Replica::adopt(const ViewRecord& record, const PeerTable& peers, absl::Time now, Outbox& out) {
  if (record_ && record.view.epoch <= record_->view.epoch) {
    return false;
  }
  record_ = record;
  voting_ = false;
  journal_promise_ = std::max(journal_promise_, record.journal_promise);
  promised_epoch_ = std::max(promised_epoch_, record.view.epoch);
  sources_.clear();
  lossy_takeover_at_ = now + options_.takeover_patience;
  bool was_member = false;
  for (const View& view : record.predecessors) {
    was_member = was_member || names(view, self_);
    for (const Member& member : view.members) {
      sources_[{view.epoch, member.node}] = Source();
    }
    if (names(view, self_)) {
      sources_[{view.epoch, self_.node}] = Source{true, taken_over_epoch_ >= view.epoch, std::nullopt};
    }
  }
  if (!was_member) {
    records_ = RecordTable(limitsOf(options_));  // what is left of an older membership is out of date
  }
  if (isMember()) {
    askSources(peers, out);
    finishTakeover(peers, now);
  }
  return true;
}

void Replica::on(const NodeId& from, const ClaimRequest& request, const PeerTable& peers, absl::Time now,
                 Outbox& out) {
  ClaimReply reply;
  reply.epoch = request.epoch;
  reply.claim = request.claim;
  reply.incarnation = self_.incarnation;
  reply.forgotten_before = forgotten_before_;
  const bool votes = voting_ && request.epoch == record_->view.epoch && promised_epoch_ <= request.epoch;
  if (!votes) {
    out.send(from, std::move(reply));
    bringUpToDate(from, request.epoch, out);
    return;
  }
  const ActionRecord* held = records_.find(request.key);
  if (held != nullptr && peers.isDead(held->owner.node, held->owner.incarnation)) {
    records_.markUnknown(request.key, now);
  }
  // A record of the claim itself proves nothing when others may have been forgotten.
  const bool unheld =
      held == nullptr || (held->state == RecordState::kClaimed && held->owner == request.claim);
  reply.verdict = unheld ? judgeAge(request.key, now) : Verdict::kGranted;
  if (reply.verdict == Verdict::kGranted) {
    const absl::Time required_until =
        std::max(journal_promise_ + 2 * options_.clock_error, journal_binding_until_);
    reply.journal_required = !keyDate(request.key.key) && now <= required_until;
    const ActionRecord wanted{request.key, request.body, request.claim, RecordState::kClaimed, "", now};
    const ClaimVote vote = records_.claim(wanted, now);
    reply.verdict = vote.verdict;
    if (vote.record != nullptr) {
      reply.record = *vote.record;
    }
  }
  out.send(from, std::move(reply));
}

void Replica::on(const NodeId& from, const CompleteRequest& request, absl::Time now, Outbox& out) {
  const bool holds_records = voting_ || (isMember() && !sources_.empty());
  if (!holds_records || request.epoch != record_->view.epoch) {
    bringUpToDate(from, request.epoch, out);
    return;
  }
  if (!records_.complete(request.record, now)) {
    return;  // those who voted for the claim have its record
  }
  out.send(from, CompleteReply{request.epoch, request.record.owner, self_.incarnation});
}

void Replica::on(const NodeId& from, const TakeoverRequest& request, Outbox& out) {
  promised_epoch_ = std::max(promised_epoch_, request.new_epoch);
  if (!record_ || record_->view.epoch < promised_epoch_) {
    voting_ = false;
    bringUpToDate(from, request.new_epoch, out);
  }
  TakeoverReply reply;
  reply.new_epoch = request.new_epoch;
  reply.view = request.view;
  reply.incarnation = self_.incarnation;
  reply.holds_predecessors = taken_over_epoch_ >= request.view;
  reply.forgotten_before = forgotten_before_;
  reply.undated_forgotten_until = undated_forgotten_until_;
  reply.journal_binding_until = journal_binding_until_;
  reply.journal_promise = journal_promise_;
  reply.after = request.after;
  reply.records = records_.page(request.after, kPageBytes);
  reply.last = reply.records.empty() || records_.page(reply.records.back().key, 1).empty();
  out.send(from, std::move(reply));
}

void Replica::on(const NodeId& from, const TakeoverReply& reply, const PeerTable& peers, absl::Time now,
                 Outbox& out) {
  if (!record_ || reply.new_epoch != record_->view.epoch || voting_ || !isMember()) {
    return;
  }
  const auto found = sources_.find({reply.view, from});
  if (found == sources_.end() || found->second.finished || found->second.after != reply.after) {
    return;
  }
  for (const View& view : record_->predecessors) {
    const bool other_life = view.epoch == reply.view && !names(view, Member{from, reply.incarnation, {}});
    if (other_life) {
      return;  // it remembers nothing; membership tells when the older life is over
    }
  }
  for (const ActionRecord& one : reply.records) {
    records_.merge(one);
  }
  journal_promise_ = std::max(journal_promise_, reply.journal_promise);
  Source& source = found->second;
  source.holds_predecessors = reply.holds_predecessors;
  if (reply.holds_predecessors) {
    forgotten_before_ = std::max(forgotten_before_, reply.forgotten_before);
    undated_forgotten_until_ = std::max(undated_forgotten_until_, reply.undated_forgotten_until);
    journal_binding_until_ = std::max(journal_binding_until_, reply.journal_binding_until);
  }
  if (!reply.last) {
    source.after = reply.records.back().key;
    out.send(from, TakeoverRequest{record_->view.epoch, reply.view, source.after});
    return;
  }
  source.finished = true;
  finishTakeover(peers, now);
}

void Replica::on(const NodeId& from, const PromiseRequest& request, Outbox& out) {
  if (!isMember() || request.epoch != record_->view.epoch || promised_epoch_ > request.epoch) {
    return;
  }
  journal_promise_ = std::max(journal_promise_, request.until);
  out.send(from, PromiseReply{request.epoch, request.until, self_.incarnation});
}

void Replica::bringUpToDate(const NodeId& peer, Epoch epoch_of_peer, Outbox& out) const {
  const Epoch known = record_ ? record_->view.epoch : Epoch();
  if (known > epoch_of_peer) {
    out.send(peer, ViewAnnounce{*record_});
  } else if (known < epoch_of_peer) {
    out.send(peer, ViewQuery{known});
  }
}

void Replica::tick(const PeerTable& peers, absl::Time now, Outbox& out) {
  if (isMember() && !voting_ && promised_epoch_ == record_->view.epoch && now >= next_ask_) {
    next_ask_ = now + options_.resend_interval;
    askSources(peers, out);
    finishTakeover(peers, now);
  }
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryInterval;
    records_.expire(now);
  }
}

void Replica::askSources(const PeerTable& peers, Outbox& out) {
  for (const View& view : record_->predecessors) {
    for (const Member& member : view.members) {
      const Source& source = sources_.at({view.epoch, member.node});
      if (!source.finished && !peers.isDead(member.node, member.incarnation)) {
        out.send(member.node, TakeoverRequest{record_->view.epoch, view.epoch, source.after});
      }
    }
  }
}

void Replica::finishTakeover(const PeerTable& peers, absl::Time now) {
  for (const View& view : record_->predecessors) {
    if (stoppedMembers(view, peers) < view.fence()) {
      return;
    }
  }
  const bool lost = somethingLost();
  if (lost && now < lossy_takeover_at_ && sourcesOutstanding(peers)) {
    return;  // a member that is late may make it whole
  }
  if (lost) {
    forgotten_before_ = now + options_.maximum_date_ahead + 2 * options_.clock_error;
    undated_forgotten_until_ = std::max(undated_forgotten_until_, undatedLossUntil(now));
    journal_binding_until_ = now + options_.retention;
  }
  voting_ = promised_epoch_ == record_->view.epoch;
  taken_over_epoch_ = record_->view.epoch;
  sources_.clear();
}

size_t Replica::finishedMembers(const View& view) const {
  return static_cast<size_t>(
      std::count_if(view.members.begin(), view.members.end(), [&](const Member& member) {
        return sources_.at({view.epoch, member.node}).finished;
      }));
}

bool Replica::sourcesOutstanding(const PeerTable& peers) const {
  for (const View& view : record_->predecessors) {
    for (const Member& member : view.members) {
      if (!sources_.at({view.epoch, member.node}).finished &&
          !peers.isDead(member.node, member.incarnation)) {
        return true;
      }
    }
  }
  return false;
}

size_t Replica::stoppedMembers(const View& view, const PeerTable& peers) const {
  return static_cast<
      size_t>(std::count_if(view.members.begin(), view.members.end(), [&](const Member& member) {
    return sources_.at({view.epoch, member.node}).finished || peers.isDead(member.node, member.incarnation);
  }));
}

bool Replica::somethingLost() const {
  // From the newest view on: a member that had taken over its predecessors stands for all of them.
  bool predecessors_held = false;
  for (const View& view : record_->predecessors) {
    if (finishedMembers(view) < view.fence() && !predecessors_held) {
      return true;
    }
    for (const Member& member : view.members) {
      const Source& source = sources_.at({view.epoch, member.node});
      predecessors_held = predecessors_held || (source.finished && source.holds_predecessors);
    }
  }
  return !predecessors_held && !record_->predecessors.empty();
}

absl::Time Replica::undatedLossUntil(absl::Time now) const {
  const bool promise_held = now + 2 * options_.clock_error <= record_->journal_promise;
  return (promise_held ? record_->journal_gap : now) + options_.retention;
}

Verdict Replica::judgeAge(const ActionKey& key, absl::Time now) const {
  const std::optional<absl::Time> date = keyDate(key.key);
  if (!date) {
    return now < undated_forgotten_until_ ? Verdict::kForgotten : Verdict::kGranted;
  }
  if (*date > now + options_.maximum_date_ahead) {
    return Verdict::kDateAhead;
  }
  const absl::Duration margin = options_.maximum_date_ahead + 2 * options_.clock_error;
  const bool expired = *date < now - options_.retention + margin;
  return expired || *date <= forgotten_before_ ? Verdict::kForgotten : Verdict::kGranted;
}

}  // namespace quincewick::ledger
