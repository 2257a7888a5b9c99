#include "quota/shared_quotas.h"

#include <algorithm>
#include <utility>

namespace quincewick::quota {
namespace {

// Parts of a limit. More lose less with each holder that is down; fewer hold larger requests.
constexpr size_t kParts = 5;
constexpr int kMaxSilentHolders = 3;  // of one request
constexpr absl::Duration kProbeInterval = absl::Milliseconds(500);
// Bounds the time for which gateways know different members.
constexpr absl::Duration kViewPropagation = absl::Seconds(8);
constexpr size_t kMaxAccounts = 4096;
constexpr absl::Duration kUnreachableRetryAfter = absl::Milliseconds(250);  // if no holder responded

}  // namespace

void SharedQuotas::setMembers(const std::vector<routing::KeeperMember>& members) {
  if (members == members_) {
    return;
  }
  if (!members_.empty()) {
    earlier_views_.push_back({ranks_, absl::InfiniteFuture()});
  }
  members_ = members;
  ranks_.setMembers(members);
}

void SharedQuotas::onHeartbeat(bool is_isolated, absl::Time now) {
  is_isolated_ = is_isolated;
  first_heartbeat_ = std::min(first_heartbeat_, now);
  for (View& view : earlier_views_) {
    view.replaced_at = std::min(view.replaced_at, now);
  }
  std::erase_if(earlier_views_,
                [now](const View& view) { return now - view.replaced_at > kViewPropagation; });
}

std::vector<NodeId> SharedQuotas::holdersOf(const LimitName& name) {
  return ranks_.spreadOverZones(name.value(), kParts);
}

double SharedQuotas::partOf(const LimitName& name) {
  const auto part_by = [&](routing::KeeperRanks& ranks) {
    const std::vector<NodeId> holders = ranks.spreadOverZones(name.value(), kParts);
    const bool is_holder = std::find(holders.begin(), holders.end(), self_) != holders.end();
    return is_holder ? 1.0 / static_cast<double>(holders.size()) : 0.0;
  };
  double part = part_by(ranks_);
  for (View& view : earlier_views_) {
    part = std::min(part, part_by(view.ranks));
  }
  return part;
}

std::vector<NodeId> SharedQuotas::reachableHolders(const LimitName& name) {
  std::vector<NodeId> holders = holdersOf(name);
  const bool is_holder = partOf(name) > 0;
  std::erase_if(holders, [this, is_holder](const NodeId& holder) {
    return holder == self_ ? !is_holder : is_isolated_ || ranks_.isSuspected(holder);
  });
  return holders;
}

uint64_t SharedQuotas::requestGrant(const LimitName& name, double cost, absl::Time now,
                                    QuotaActions& actions) {
  probeSuspected(name, now, actions);
  const uint64_t number = ++last_number_;
  PendingRequest& request = pending_[number];
  request.name = name;
  request.cost = cost;
  request.holders = reachableHolders(name);
  request.last_deadline = now + kMaxSilentHolders * kResponseTimeout;
  const auto count = static_cast<ptrdiff_t>(request.holders.size());
  const RateLimit* const limit = limit_of_(name);
  if (limit != nullptr && cost > QuotaAccount::capacityOf(*limit, tolerance_, 1.0 / kParts)) {
    // All requesters ask in the same order, so that two don't take shares from each other.
    request.is_shared = true;
    request.cost = cost / static_cast<double>(std::max<ptrdiff_t>(count, 1));
  } else if (count > 0) {
    // Requests begin at different holders, so that all parts are used alike.
    const auto first = static_cast<ptrdiff_t>(number) % count;
    std::rotate(request.holders.begin(), request.holders.begin() + first, request.holders.end());
  }
  askNextHolder(number, request, now, actions);
  return number;
}

void SharedQuotas::askNextHolder(uint64_t number, PendingRequest& request, absl::Time now,
                                 QuotaActions& actions) {
  if (request.wereAllAsked() || now >= request.last_deadline) {
    deny(number, request, actions);
    return;
  }
  const bool is_first = request.asked == 0;
  const NodeId& holder = request.holders[request.asked++];
  if (holder != self_) {
    request.deadline = std::min(now + kResponseTimeout, request.last_deadline);
    actions.messages.push_back(
        {holder, {QuotaMessageKind::kRequestGrant, number, request.name, request.cost, is_first, {}}});
    return;
  }
  const QuotaVerdict verdict = decideFromPart(request.name, request.cost, is_first, now);
  if (verdict.is_granted) {
    onGranted(number, request, now, actions);
  } else {
    request.retry_after = request.retry_after.value_or(verdict.retry_after);
    onNotGranted(number, request, now, actions);
  }
}

void SharedQuotas::onGranted(uint64_t number, PendingRequest& request, absl::Time now,
                             QuotaActions& actions) {
  if (request.is_shared && !request.wereAllAsked()) {
    askNextHolder(number, request, now, actions);
    return;
  }
  const NodeId owner = request.is_shared ? NodeId() : request.lastAsked();
  pending_.erase(number);
  actions.decisions.push_back({number, {true, absl::ZeroDuration()}, owner, false});
}

void SharedQuotas::onNotGranted(uint64_t number, PendingRequest& request, absl::Time now,
                                QuotaActions& actions) {
  if (!request.is_shared) {
    askNextHolder(number, request, now, actions);
    return;
  }
  for (size_t granted = 0; granted + 1 < request.asked; ++granted) {
    refund(request.name, request.cost, request.holders[granted], actions);
  }
  deny(number, request, actions);
}

void SharedQuotas::deny(uint64_t number, PendingRequest& request, QuotaActions& actions) {
  const bool is_unavailable = !request.retry_after.has_value();
  const absl::Duration retry_after = request.retry_after.value_or(kUnreachableRetryAfter);
  pending_.erase(number);
  actions.decisions.push_back({number, {false, retry_after}, NodeId(), is_unavailable});
}

QuotaVerdict SharedQuotas::decideFromPart(const LimitName& name, double cost, bool defers_denied,
                                          absl::Time now) {
  const RateLimit* const limit = limit_of_(name);
  if (limit == nullptr) {
    return {true, absl::ZeroDuration()};
  }
  const double part = partOf(name);
  if (part <= 0) {
    return {false, kUnreachableRetryAfter};
  }
  forgetIdleAccounts(now);
  const auto [account, is_new] = accounts_.try_emplace(name);
  // What this gateway granted before it started is unknown.
  const bool may_have_granted = is_new && now - first_heartbeat_ < tolerance_.window;
  const OwnerAllowance allowance = {part, !may_have_granted, defers_denied};
  return account->second.tryConsume(cost, *limit, tolerance_, allowance, now);
}

// Checks whether holders that didn't respond are reachable again.
void SharedQuotas::probeSuspected(const LimitName& name, absl::Time now, QuotaActions& actions) {
  for (const NodeId& holder : holdersOf(name)) {
    if (!ranks_.isSuspected(holder)) {
      continue;
    }
    absl::Time& last = last_probe_.try_emplace(holder, absl::InfinitePast()).first->second;
    if (now - last < kProbeInterval) {
      continue;
    }
    last = now;
    const uint64_t number = ++last_number_;
    PendingRequest& probe = pending_[number];
    probe.name = name;
    probe.is_probe = true;
    probe.holders = {holder};
    probe.asked = 1;
    probe.deadline = now + kResponseTimeout;
    actions.messages.push_back({holder, {QuotaMessageKind::kRequestGrant, number, name, 0, true, {}}});
  }
}

void SharedQuotas::refund(const LimitName& name, double cost, const NodeId& owner, QuotaActions& actions) {
  if (owner == self_) {
    if (const auto account = accounts_.find(name); account != accounts_.end()) {
      account->second.refund(cost);
    }
  } else if (!owner.value().empty()) {
    actions.messages.push_back({owner, {QuotaMessageKind::kRefund, 0, name, cost, true, {}}});
  } else {
    const std::vector<NodeId> holders = reachableHolders(name);
    for (const NodeId& holder : holders) {
      refund(name, cost / static_cast<double>(holders.size()), holder, actions);
    }
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
  if (!is_probe && partOf(request.name) <= 0) {
    reply.kind = QuotaMessageKind::kNotOwner;
  } else if (!is_probe) {
    const QuotaVerdict verdict = decideFromPart(request.name, request.cost, request.is_first_candidate, now);
    reply.kind = verdict.is_granted ? QuotaMessageKind::kGrant : QuotaMessageKind::kDeny;
    reply.retry_after = verdict.retry_after;
  }
  actions.messages.push_back({from, reply});
}

// A late grant counts as used, a small loss for the limit's owner: work that starts long after the grant
// would add to what is granted meanwhile.
void SharedQuotas::handleResponse(const NodeId& from, const QuotaMessage& message, absl::Time now,
                                  QuotaActions& actions) {
  const auto found = pending_.find(message.number);
  if (found == pending_.end() || found->second.lastAsked() != from || now >= found->second.deadline) {
    return;
  }
  PendingRequest& request = found->second;
  if (request.is_probe) {
    pending_.erase(found);
  } else if (message.kind == QuotaMessageKind::kGrant) {
    onGranted(message.number, request, now, actions);
  } else {
    if (message.kind == QuotaMessageKind::kDeny) {
      request.retry_after = request.retry_after.value_or(message.retry_after);
    }
    onNotGranted(message.number, request, now, actions);
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
    ranks_.noteSilence(request.lastAsked());
    if (request.is_probe) {
      pending_.erase(number);
    } else {
      onNotGranted(number, request, now, actions);
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

// Nothing was granted from such an account within a window, so a new one may begin with a full bucket.
void SharedQuotas::forgetIdleAccounts(absl::Time now) {
  if (accounts_.size() < kMaxAccounts) {
    return;
  }
  absl::erase_if(accounts_,
                 [&](const auto& entry) { return now - entry.second.lastRequest() > tolerance_.window; });
}

}  // namespace quincewick::quota
