#include "ledger/view_keeper.h"

#include <absl/random/distributions.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace quincewick::ledger {
namespace {

constexpr absl::Duration kCallTimeout = absl::Seconds(2);
constexpr absl::Duration kRetryDelay = absl::Milliseconds(250);
constexpr absl::Duration kGossipInterval = absl::Seconds(1);
constexpr absl::Duration kEagerGossipInterval = absl::Milliseconds(200);
// A store that answers more slowly is not made a condition of undated actions.
constexpr absl::Duration kPromptStore = absl::Milliseconds(500);
constexpr int kMaximumBackoffSteps = 4;  // 4 s
constexpr size_t kMaximumPredecessors = 16;
constexpr size_t kMaximumRank = 10;

}  // namespace

ViewKeeper::ViewKeeper(const Member& self, const LedgerOptions& options, CallNumbers& calls)
    : self_(self), options_(options), calls_(calls) {}

std::string ViewKeeper::tableKey() const {
  return absl::StrCat("ledger/", options_.group, "/view");
}

OperationId ViewKeeper::nextOperation() {
  return OperationId(absl::StrCat(self_.node.value(), "/", self_.incarnation.value(), "/", ++operations_));
}

void ViewKeeper::send(CallKind kind, PlatformRequest request, ViewRecord wanted, absl::Time now,
                      Outbox& out) {
  call_ = Call{calls_.next(), kind, now, std::move(wanted)};
  out.add(PlatformCall{call_->id, std::move(request)});
}

void ViewKeeper::write(CallKind kind, ViewRecord wanted, absl::Time now, Outbox& out) {
  TableTransaction transaction;
  transaction.conditions.push_back(TableCondition{tableKey(), version_});
  transaction.writes.push_back(TableWrite{tableKey(), encodeViewRecord(wanted)});
  send(kind, std::move(transaction), std::move(wanted), now, out);
}

bool ViewKeeper::on(const PlatformReply& reply, const PeerTable& peers, const Replica& replica,
                    absl::Time now, Outbox& out, std::optional<ViewRecord>& found) {
  if (!call_ || call_->id != reply.id) {
    return false;
  }
  const Call call = *std::exchange(call_, std::nullopt);
  const bool failed = std::holds_alternative<Error>(reply.result);
  call_failures_ = failed ? std::min(call_failures_ + 1, kMaximumBackoffSteps) : 0;
  next_call_ = now + kRetryDelay * (1 << call_failures_);
  if (const auto* items = std::get_if<TableItems>(&reply.result)) {
    if (!items->items.empty()) {
      learn(items->items.front(), found);
      const bool prompt = now - call.sent_at <= kPromptStore;
      if (found && replica.record() != nullptr && found->view.epoch == replica.record()->view.epoch) {
        found.reset();
      }
      if (!found) {
        afterRead(peers, replica, prompt, now, out);
      }
    }
  } else if (const auto* conflict = std::get_if<TableConflict>(&reply.result)) {
    if (!conflict->items.empty()) {
      learn(conflict->items.front(), found);
    }
  } else if (const auto* committed = std::get_if<TableCommitted>(&reply.result)) {
    if (!committed->versions.empty()) {
      version_ = committed->versions.front();
      table_record_ = call.wanted;
      found = call.wanted;
    }
  }
  return true;  // an error: the next tick reads the table again
}

void ViewKeeper::learn(const TableItem& item, std::optional<ViewRecord>& found) {
  if (item.version == kAbsentItemVersion) {
    table_read_ = true;
    version_ = kAbsentItemVersion;
    table_record_.reset();
    return;
  }
  Result<ViewRecord> record = decodeViewRecord(item.value);
  if (!record) {
    return;  // not ours to overwrite
  }
  table_read_ = true;
  version_ = item.version;
  table_record_ = record.value();
  found = std::move(record).value();
}

void ViewKeeper::afterRead(const PeerTable& peers, const Replica& replica, bool prompt, absl::Time now,
                           Outbox& out) {
  const bool table_is_newer = table_record_ && (replica.record() == nullptr ||
                                                table_record_->view.epoch > replica.record()->view.epoch);
  const bool table_is_older = !table_record_ && replica.record() != nullptr;
  if (table_is_newer || table_is_older) {
    return;
  }
  if (wanted_since_ && now >= *wanted_since_ + proposalDelay(peers, replica)) {
    if (auto members = wantedMembers(peers, replica, now)) {
      ViewRecord record = successor(*std::move(members), replica, now);
      record.operation = nextOperation();
      write(CallKind::kPropose, std::move(record), now, out);
      return;
    }
  }
  if (!isPromiser(peers, replica) || now < next_promise_) {
    return;
  }
  if (prompt) {
    beginPromise(replica, now, out);
  } else {
    next_promise_ = now + options_.journal_promise / 3;
  }
}

std::optional<std::vector<Member>> ViewKeeper::wantedMembers(const PeerTable& peers, const Replica& replica,
                                                             absl::Time now) const {
  const ViewRecord* record = replica.record();
  const View current = record == nullptr ? View() : record->view;
  std::vector<Member> wanted = chooseMembers(peers, current, options_.group_size, options_.member_grace, now);
  if (wanted.empty() || wanted == current.members) {
    return std::nullopt;
  }
  if (record != nullptr) {
    if (!canBeStopped(current, peers) || record->predecessors.size() >= kMaximumPredecessors) {
      return std::nullopt;
    }
  }
  return wanted;
}

bool ViewKeeper::canBeStopped(const View& view, const PeerTable& peers) const {
  const auto stoppable = std::count_if(view.members.begin(), view.members.end(), [&](const Member& member) {
    return peers.isReachable(member) || peers.isDead(member.node, member.incarnation);
  });
  return static_cast<size_t>(stoppable) >= view.fence();
}

void ViewKeeper::watchMembers(const PeerTable& peers, const Replica& replica, absl::Time now) {
  if (!wantedMembers(peers, replica, now)) {
    wanted_since_.reset();
  } else if (!wanted_since_) {
    wanted_since_ = now;
  }
}

absl::Duration ViewKeeper::proposalDelay(const PeerTable& peers, const Replica& replica) const {
  // Members first, then the others, each by name; one after the other gets its turn.
  size_t members_before = 0;
  size_t others_before = 0;
  size_t members = 0;
  bool self_is_member = false;
  for (const auto& [node, peer] : peers.peers()) {
    if (!peer.state.reachable) {
      continue;
    }
    const Member member{node, peer.state.incarnation, peer.state.zone};
    const Member* held = replica.record() == nullptr ? nullptr : replica.record()->view.find(node);
    const bool is_member = held != nullptr && held->incarnation == member.incarnation;
    members += is_member ? 1 : 0;
    self_is_member = self_is_member || (is_member && node == self_.node);
    if (node < self_.node) {
      (is_member ? members_before : others_before) += 1;
    }
  }
  const size_t rank = self_is_member ? members_before : members + others_before;
  const absl::Duration founding =
      replica.record() == nullptr ? options_.founding_delay : absl::ZeroDuration();
  return founding + static_cast<int64_t>(std::min(rank, kMaximumRank)) * options_.proposal_stagger;
}

ViewRecord ViewKeeper::successor(std::vector<Member> members, const Replica& replica, absl::Time now) const {
  ViewRecord next;
  next.view.members = std::move(members);
  if (!table_record_) {
    next.view.epoch = Epoch(1);
    next.journal_promise = now + options_.journal_promise;
    return next;
  }
  next.view.epoch = table_record_->view.epoch.next();
  next.journal_promise = table_record_->journal_promise;
  next.journal_gap = table_record_->journal_gap;
  next.predecessors.push_back(table_record_->view);
  if (!replica.voting()) {
    // This node doesn't know that the current members have taken over from their predecessors.
    next.predecessors.insert(next.predecessors.end(), table_record_->predecessors.begin(),
                             table_record_->predecessors.end());
  }
  return next;
}

void ViewKeeper::tick(const PeerTable& peers, const Replica& replica, absl::Time now, absl::BitGenRef random,
                      Outbox& out) {
  watchMembers(peers, replica, now);
  gossip(peers, replica, now, random, out);
  if (call_ && now >= call_->sent_at + kCallTimeout) {
    call_.reset();
    next_call_ = now + kRetryDelay;
  }
  if (call_ || now < next_call_) {
    return;
  }
  const bool change_due = wanted_since_ && now >= *wanted_since_ + proposalDelay(peers, replica);
  const bool promise_due = isPromiser(peers, replica) && now >= next_promise_;
  if (replica.record() == nullptr || change_due || promise_due) {
    next_call_ = now + kRetryDelay + absl::Milliseconds(absl::Uniform(random, 0, 100));
    send(CallKind::kRead, TableRead{{tableKey()}}, ViewRecord(), now, out);
  }
}

void ViewKeeper::gossip(const PeerTable& peers, const Replica& replica, absl::Time now,
                        absl::BitGenRef random, Outbox& out) {
  if (now < next_gossip_) {
    return;
  }
  next_gossip_ = now + (replica.record() == nullptr ? kEagerGossipInterval : kGossipInterval);
  std::vector<NodeId> reachable;
  for (const auto& [node, peer] : peers.peers()) {
    if (peer.state.reachable && node != self_.node) {
      reachable.push_back(node);
    }
  }
  if (!reachable.empty()) {
    const size_t chosen = absl::Uniform<size_t>(random, 0, reachable.size());
    const Epoch known = replica.record() == nullptr ? Epoch() : replica.record()->view.epoch;
    out.send(reachable[chosen], ViewQuery{known});
  }
}

bool ViewKeeper::isPromiser(const PeerTable& peers, const Replica& replica) const {
  if (!replica.voting()) {
    return false;
  }
  for (const Member& member : replica.record()->view.members) {
    if (peers.isReachable(member)) {
      return member.node == self_.node;  // the first one that answers
    }
  }
  return false;
}

void ViewKeeper::beginPromise(const Replica& replica, absl::Time now, Outbox& out) {
  next_promise_ = now + options_.journal_promise / 3;
  // In whole nanoseconds, as messages carry times.
  promise_until_ = absl::FromUnixNanos(absl::ToUnixNanos(now + options_.journal_promise));
  promise_replies_.clear();
  for (const Member& member : replica.record()->view.members) {
    out.send(member.node, PromiseRequest{replica.record()->view.epoch, promise_until_});
  }
}

void ViewKeeper::on(const NodeId& from, const PromiseReply& reply, const Replica& replica, absl::Time now,
                    Outbox& out) {
  if (!replica.voting() || reply.epoch != replica.record()->view.epoch || reply.until != promise_until_ ||
      call_ || !table_record_ || table_record_->view.epoch != reply.epoch) {
    return;
  }
  const Member* member = replica.record()->view.find(from);
  if (member == nullptr || member->incarnation != reply.incarnation) {
    return;
  }
  promise_replies_.insert(from);
  if (promise_replies_.size() != replica.record()->view.majority()) {
    return;
  }
  ViewRecord record = *table_record_;
  // Where the last promise may have lapsed, claims may have been made without the journal.
  const bool lapsed = now + options_.clock_error >= record.journal_promise;
  if (lapsed) {
    record.journal_gap = now + options_.release_delay;
  }
  record.journal_gap = std::max(record.journal_gap, replica.undatedForgottenUntil() - options_.retention);
  record.journal_promise = promise_until_;
  record.operation = nextOperation();
  write(CallKind::kPromise, std::move(record), now, out);
}

void ViewKeeper::announce(const ViewRecord& record, const PeerTable& peers, Outbox& out) {
  for (const auto& [node, peer] : peers.peers()) {
    if (peer.state.reachable && node != peers.self().node) {
      out.send(node, ViewAnnounce{record});
    }
  }
}

}  // namespace quincewick::ledger
