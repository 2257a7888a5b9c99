#include "quota/shared_quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quincewick::quota {
namespace {

constexpr size_t kMaxCandidates = 3;  // gateways asked for one request
constexpr absl::Duration kProbeInterval = absl::Milliseconds(100);
// Fraction of the allowed overshoot that all stand-ins together may grant while another gateway is the owner.
constexpr double kStandInFraction = 0.5;
constexpr absl::Duration kMaxHeartbeatGap = absl::Seconds(1);  // between heartbeats of a running process
constexpr size_t kMaxAccounts = 4096;
constexpr absl::Duration kNoOwnerRetryAfter = absl::Milliseconds(250);  // if no owner responded

}  // namespace

void SharedQuotas::onHeartbeat(bool is_isolated, absl::Time now) {
  const bool was_disconnected =
      is_isolated || now - last_heartbeat_ > kMaxHeartbeatGap;  // also true at start
  if (was_disconnected) {
    rejoining_until_ = now + tolerance_.window;
  }
  is_isolated_ = is_isolated;
  last_heartbeat_ = now;
}

uint64_t SharedQuotas::requestGrant(const LimitName& name, double cost, absl::Time now,
                                    QuotaActions& actions) {
  const uint64_t number = ++last_number_;
  tryNextOwner(number, pending_[number] = {name, cost, false, {}, now}, now, actions);
  return number;
}

void SharedQuotas::tryNextOwner(uint64_t number, PendingRequest& request, absl::Time now,
                                QuotaActions& actions) {
  const LimitName name = request.name;
  const double cost = request.cost;
  if (!is_isolated_ && request.tried.size() < kMaxCandidates) {
    for (const NodeId& candidate : ranks_.candidates(name.value())) {
      if (std::find(request.tried.begin(), request.tried.end(), candidate) != request.tried.end()) {
        continue;
      }
      if (candidate == self_) {
        pending_.erase(number);
        actions.decisions.push_back({number, decideAsOwner(name, cost, now, actions), self_});
        return;
      }
      const bool is_first_candidate = request.tried.empty();
      request.tried.push_back(candidate);
      request.deadline = now + kResponseTimeout;
      actions.messages.push_back(
          {candidate, {QuotaMessageKind::kRequestGrant, number, name, cost, is_first_candidate, {}}});
      return;
    }
  }
  pending_.erase(number);
  const bool is_denied = !is_isolated_ && no_owner_policy_ == NoOwnerPolicy::kDenyRequest;
  actions.decisions.push_back(
      {number, is_denied ? QuotaVerdict{false, kNoOwnerRetryAfter} : decideByEvenShare(name, cost, now),
       NodeId()});
}

QuotaVerdict SharedQuotas::decideAsOwner(const LimitName& name, double cost, absl::Time now,
                                         QuotaActions& actions) {
  const RateLimit* const limit = limit_of_(name);
  if (limit == nullptr) {
    return {true, absl::ZeroDuration()};
  }
  const bool is_owner = isOwner(name);
  const std::vector<NodeId> before = ranks_.before(name.value(), self_);
  probe(before, name, now, actions);
  // Several gateways stand in at the same time if some requesters can't reach the owner and others can't
  // reach the next in rank either. Each has half the share of the one before it in rank, so that together
  // they stay within the fraction of one stand-in.
  const double share = std::exp2(-static_cast<double>(before.size()));
  const OwnerAllowance allowance = {is_owner ? 1 : tolerance_.overshoot * kStandInFraction * share,
                                    is_owner && now >= rejoining_until_, before.empty(),
                                    is_owner ? 1 : share};
  forgetIdleAccounts(now);
  return owned_accounts_[name].tryConsume(cost, *limit, tolerance_, allowance, now);
}

QuotaVerdict SharedQuotas::decideByEvenShare(const LimitName& name, double cost, absl::Time now) {
  const RateLimit* const limit = limit_of_(name);
  if (limit == nullptr) {
    return {true, absl::ZeroDuration()};
  }
  const double share = 1.0 / static_cast<double>(std::max<size_t>(ranks_.members(), 1));
  RateLimit own = *limit;
  own.per_second *= share;
  own.burst *= share;
  LimitTolerance tolerance = tolerance_;
  tolerance.slack *= share;
  return even_share_accounts_[name].tryConsume(cost, own, tolerance, OwnerAllowance::full(), now);
}

bool SharedQuotas::isOwner(const LimitName& name) {
  const std::vector<NodeId> candidates = ranks_.candidates(name.value());
  return candidates.empty() || candidates.front() == self_;
}

// Checks whether nodes that rank before this one are reachable.
void SharedQuotas::probe(const std::vector<NodeId>& nodes, const LimitName& name, absl::Time now,
                         QuotaActions& actions) {
  for (const NodeId& node : nodes) {
    absl::Time& last = last_probe_.try_emplace(node, absl::InfinitePast()).first->second;
    if (now - last < kProbeInterval) {
      continue;
    }
    last = now;
    const uint64_t number = ++last_number_;
    pending_[number] = {name, 0, true, {node}, now + kResponseTimeout};
    actions.messages.push_back({node, {QuotaMessageKind::kRequestGrant, number, name, 0, true, {}}});
  }
}

void SharedQuotas::refund(const LimitName& name, double cost, const NodeId& owner, QuotaActions& actions) {
  if (owner == self_) {
    if (const auto account = owned_accounts_.find(name); account != owned_accounts_.end()) {
      account->second.refund(cost);
    }
  } else if (!owner.value().empty()) {
    actions.messages.push_back({owner, {QuotaMessageKind::kRefund, 0, name, cost, true, {}}});
  }
}

void SharedQuotas::onMessage(const NodeId& from, const QuotaMessage& message, absl::Time now,
                             QuotaActions& actions) {
  ranks_.noteHeard(from);
  switch (message.kind) {
    case QuotaMessageKind::kRequestGrant:
      handleRequest(from, message, now, actions);
      return;
    case QuotaMessageKind::kRefund:
      refund(message.name, message.cost, self_, actions);
      return;
    case QuotaMessageKind::kGrant:
    case QuotaMessageKind::kDeny:
    case QuotaMessageKind::kNotOwner:
      handleResponse(from, message, now, actions);
      return;
  }
}

void SharedQuotas::handleRequest(const NodeId& from, const QuotaMessage& request, absl::Time now,
                                 QuotaActions& actions) {
  QuotaMessage reply = {QuotaMessageKind::kGrant, request.number, request.name, 0, true, {}};
  const bool is_probe = request.cost <= 0;
  if (!is_probe && request.is_first_candidate && !isOwner(request.name)) {
    reply.kind = QuotaMessageKind::kNotOwner;
  } else if (!is_probe) {
    const QuotaVerdict verdict = decideAsOwner(request.name, request.cost, now, actions);
    reply.kind = verdict.is_granted ? QuotaMessageKind::kGrant : QuotaMessageKind::kDeny;
    reply.retry_after = verdict.retry_after;
  }
  actions.messages.push_back({from, reply});
}

void SharedQuotas::handleResponse(const NodeId& from, const QuotaMessage& message, absl::Time now,
                                  QuotaActions& actions) {
  const auto found = pending_.find(message.number);
  const bool is_awaited = found != pending_.end() && found->second.tried.back() == from;
  if (!is_awaited) {
    return;  // late response: its grant counts as used, a small loss for the limit's holder
  }
  PendingRequest& request = found->second;
  if (message.kind == QuotaMessageKind::kNotOwner) {
    for (const NodeId& node : ranks_.before(request.name.value(), from)) {
      ranks_.noteHeard(node);  // `from` can reach it
    }
    tryNextOwner(message.number, request, now, actions);
    return;
  }
  const bool is_probe = request.is_probe;
  pending_.erase(found);
  if (!is_probe) {
    const bool is_granted = message.kind == QuotaMessageKind::kGrant;
    actions.decisions.push_back({message.number, {is_granted, message.retry_after}, from});
  }
}

void SharedQuotas::onTick(absl::Time now, QuotaActions& actions) {
  std::vector<uint64_t> late;
  for (const auto& [number, request] : pending_) {
    if (request.deadline <= now) {
      late.push_back(number);
    }
  }
  for (const uint64_t number : late) {
    PendingRequest& request = pending_.at(number);
    ranks_.noteSilence(request.tried.back());
    if (request.is_probe) {
      pending_.erase(number);
    } else {
      tryNextOwner(number, request, now, actions);
    }
  }
}

absl::Time SharedQuotas::nextWakeup() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [number, request] : pending_) {
    next = std::min(next, request.deadline);
  }
  return next;
}

// Accounts unused for a window hold the same state as new ones.
void SharedQuotas::forgetIdleAccounts(absl::Time now) {
  if (owned_accounts_.size() < kMaxAccounts) {
    return;
  }
  absl::erase_if(owned_accounts_,
                 [&](const auto& entry) { return now - entry.second.lastRequest() > tolerance_.window; });
}

}  // namespace quincewick::quota
