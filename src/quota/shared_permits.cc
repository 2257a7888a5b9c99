#include "quota/shared_permits.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace quincewick::quota {
namespace {

constexpr size_t kMaxParts = 4;
constexpr uint32_t kPermitsPerPart = 4;  // at least; fewer parts otherwise
constexpr absl::Duration kRenewInterval = absl::Milliseconds(300);
constexpr absl::Duration kProbeInterval = absl::Milliseconds(500);  // of silent holders
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(20);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(2);
constexpr size_t kMaxAccounts = 4096;

std::string subjectOf(uint64_t server) {
  return absl::StrCat("permits/", absl::Hex(server));
}

}  // namespace

size_t SharedPermits::partsFor(uint32_t max_rejections) {
  return std::clamp<size_t>(max_rejections / kPermitsPerPart, 1, kMaxParts);
}

// One permit of the first holder's part is left to it for the time after a start.
uint32_t SharedPermits::shareAt(size_t place, uint32_t max_rejections) {
  const auto parts = static_cast<uint32_t>(partsFor(max_rejections));
  const uint32_t part = max_rejections / parts + (place < max_rejections % parts ? 1 : 0);
  return place == 0 && max_rejections > 1 ? part - 1 : part;
}

void SharedPermits::onHeartbeat(bool is_isolated, absl::Time now) {
  is_isolated_ = is_isolated;
  first_heartbeat_ = std::min(first_heartbeat_, now);
  holders_.onHeartbeat(now);
  forgetIdleAccounts(now);
}

uint64_t SharedPermits::request(uint64_t server, uint32_t max_rejections, double share, absl::Time now,
                                PermitActions& actions) {
  const uint64_t number = ++last_number_;
  Pending& pending = pending_[number];
  pending.server = server;
  pending.max_rejections = max_rejections;
  pending.share = share;
  const size_t parts = max_rejections > 0 ? partsFor(max_rejections) : kMaxParts;
  pending.holders = holders_.holdersOf(subjectOf(server), parts);
  const NodeId first_holder = pending.holders.empty() ? NodeId() : pending.holders.front();
  std::erase_if(pending.holders, [&](const NodeId& holder) {
    if (holder == self_) {
      return false;
    }
    if (is_isolated_) {
      return true;
    }
    if (!holders_.ranks().isSuspected(holder)) {
      return false;
    }
    absl::Time& last = suspected_at_.try_emplace(holder, absl::InfinitePast()).first->second;
    const bool is_due = now - last >= kProbeInterval;
    last = is_due ? now : last;
    return !is_due;
  });
  // Only the first holder lets a request find out what a server stands, so that it is one at a time.
  const bool is_first_asked = !pending.holders.empty() && pending.holders.front() == first_holder;
  pending.only_inquires = max_rejections == 0 && !is_first_asked;
  pending.is_first_silent = pending.only_inquires && !is_isolated_;
  // Requests begin at different holders, so that all parts are used alike. What a server stands is asked of
  // all in the same order, so that the first request of each gateway meets the others'.
  if (max_rejections > 0 && !pending.holders.empty()) {
    const auto first = static_cast<ptrdiff_t>(number % pending.holders.size());
    std::rotate(pending.holders.begin(), pending.holders.begin() + first, pending.holders.end());
  }
  askNext(number, now, actions);
  return number;
}

void SharedPermits::askNext(uint64_t number, absl::Time now, PermitActions& actions) {
  Pending& pending = pending_.at(number);
  if (pending.asked == pending.holders.size()) {
    deny(number, actions);
    return;
  }
  const NodeId holder = pending.holders[pending.asked++];
  pending.asked_at = now;
  PermitMessage message;
  message.kind = pending.only_inquires ? PermitMessageKind::kInquire : PermitMessageKind::kRequest;
  message.number = number;
  message.server = pending.server;
  message.max_rejections = pending.max_rejections;
  message.share = pending.share;
  if (holder == self_) {
    handleResponse(self_, decide(self_, message, now), now, actions);
  } else {
    actions.messages.push_back({holder, message});
  }
}

void SharedPermits::deny(uint64_t number, PermitActions& actions) {
  const Pending& pending = pending_.at(number);
  PermitDecision decision;
  decision.number = number;
  decision.retry_after = std::min(pending.retry_after, kMaxRetryAfter);
  decision.is_brittle = pending.max_rejections > 0;
  decision.is_unavailable = pending.is_first_silent && !decision.is_brittle;
  pending_.erase(number);
  actions.decisions.push_back(decision);
}

// The lease runs from the question on, which the holder received later.
void SharedPermits::grant(uint64_t number, const NodeId& holder, PermitActions& actions) {
  const Pending& pending = pending_.at(number);
  Held& held = held_[number];
  held.server = pending.server;
  held.holder = holder;
  held.lease_until = pending.asked_at + kLease;
  held.renew_at = pending.asked_at + kRenewInterval;
  pending_.erase(number);
  actions.decisions.push_back({number, true, false, absl::ZeroDuration(), false, false});
}

void SharedPermits::end(uint64_t number, PermitEnd how, absl::Time now, PermitActions& actions) {
  pending_.erase(number);  // a grant that still comes is given back
  const auto found = held_.find(number);
  if (found == held_.end()) {
    return;
  }
  const Held held = found->second;
  held_.erase(found);
  PermitMessage message;
  message.kind =
      how == PermitEnd::kMaybeRejected ? PermitMessageKind::kRejected : PermitMessageKind::kRelease;
  message.number = number;
  message.server = held.server;
  if (held.holder == self_) {
    free(self_, message, now);
  } else {
    actions.messages.push_back({held.holder, message});
  }
}

// For how long this gateway may still be bound by what its last life gave out.
absl::Duration SharedPermits::quarantineLeft(bool is_told, absl::Time now) const {
  const absl::Duration quarantine = is_told ? kQuarantine : kRejectionWindow;
  return site_is_new_ ? absl::ZeroDuration()
                      : std::max(absl::ZeroDuration(), quarantine - (now - first_heartbeat_));
}

uint32_t SharedPermits::capacityFor(uint64_t server, uint32_t max_rejections, absl::Time now) {
  const bool is_told = max_rejections > 0;
  const std::vector<size_t> places =
      holders_.placesOf(subjectOf(server), is_told ? partsFor(max_rejections) : kMaxParts, self_);
  if (places.empty() || quarantineLeft(is_told, now) > absl::ZeroDuration()) {
    return 0;
  }
  if (!is_told) {
    return 1;
  }
  uint32_t capacity = max_rejections;
  for (const size_t place : places) {
    capacity = std::min(capacity, shareAt(place, max_rejections));
  }
  return capacity;
}

PermitMessage SharedPermits::decide(const NodeId& from, const PermitMessage& request, absl::Time now) {
  PermitMessage reply;
  reply.number = request.number;
  reply.server = request.server;
  const RejectionTolerance known = tolerance_of_(request.server, now);
  if (request.max_rejections == 0 && known.is_known && known.max_rejections == 0) {
    reply.kind = PermitMessageKind::kUnneeded;
    return reply;
  }
  uint32_t most = request.max_rejections;
  if (known.max_rejections > 0) {
    most = most == 0 ? known.max_rejections : std::min(most, known.max_rejections);
  }
  reply.max_rejections = most;
  const bool only_inquired = most == 0 && request.kind == PermitMessageKind::kInquire;
  const uint32_t capacity = only_inquired ? 0 : capacityFor(request.server, most, now);
  if (capacity == 0) {
    reply.kind = most == 0 ? PermitMessageKind::kDeny : PermitMessageKind::kNotHolder;
    reply.retry_after = std::max(kMinRetryAfter, quarantineLeft(most > 0, now));
    return reply;
  }
  Account& account = accounts_[request.server];
  dropExpired(account, now);
  const size_t used = account.permits.size() + account.cooling.size();
  const auto usable = static_cast<size_t>(std::ceil(capacity * request.share));
  if (used >= usable) {
    reply.kind = PermitMessageKind::kDeny;
    reply.retry_after =
        account.cooling.empty() ? kMinRetryAfter : std::max(account.cooling.front() - now, kMinRetryAfter);
    return reply;
  }
  account.permits[{from, request.number}] = now + kLease + kRejectionWindow;
  reply.kind = PermitMessageKind::kGrant;
  return reply;
}

void SharedPermits::dropExpired(Account& account, absl::Time now) {
  absl::erase_if(account.permits, [now](const auto& entry) { return entry.second <= now; });
  while (!account.cooling.empty() && account.cooling.front() <= now) {
    account.cooling.pop_front();
  }
}

void SharedPermits::free(const NodeId& from, const PermitMessage& message, absl::Time now) {
  const auto account = accounts_.find(message.server);
  if (account == accounts_.end() || account->second.permits.erase({from, message.number}) == 0) {
    return;
  }
  if (message.kind == PermitMessageKind::kRejected) {
    account->second.cooling.push_back(now + kRejectionWindow);
  }
}

bool SharedPermits::renew(const NodeId& from, const PermitMessage& message, absl::Time now) {
  const auto account = accounts_.find(message.server);
  if (account == accounts_.end()) {
    return false;
  }
  const auto permit = account->second.permits.find({from, message.number});
  if (permit == account->second.permits.end() || permit->second <= now) {
    return false;
  }
  permit->second = now + kLease + kRejectionWindow;
  return true;
}

void SharedPermits::onMessage(const NodeId& from, const PermitMessage& message, absl::Time now,
                              PermitActions& actions) {
  holders_.ranks().noteHeard(from);
  switch (message.kind) {
    case PermitMessageKind::kRequest:
    case PermitMessageKind::kInquire:
      actions.messages.push_back({from, decide(from, message, now)});
      return;
    case PermitMessageKind::kRenew: {
      PermitMessage reply = message;
      reply.kind = PermitMessageKind::kRenewed;
      if (renew(from, message, now)) {
        actions.messages.push_back({from, reply});
      }
      return;
    }
    case PermitMessageKind::kRelease:
    case PermitMessageKind::kRejected:
      free(from, message, now);
      return;
    default:
      handleResponse(from, message, now, actions);
  }
}

void SharedPermits::handleResponse(const NodeId& from, const PermitMessage& message, absl::Time now,
                                   PermitActions& actions) {
  if (message.kind == PermitMessageKind::kRenewed) {
    const auto held = held_.find(message.number);
    const bool is_latest =
        held != held_.end() && held->second.holder == from && held->second.renewals == message.renewal;
    if (is_latest) {
      held->second.lease_until = held->second.last_renewal + kLease;
    }
    return;
  }
  const auto found = pending_.find(message.number);
  // A grant that comes late would add to what the holder gives out meanwhile.
  const bool is_awaited = found != pending_.end() && found->second.asked > 0 &&
                          found->second.holders[found->second.asked - 1] == from &&
                          now - found->second.asked_at < kLease / 2;
  if (!is_awaited) {
    if (message.kind == PermitMessageKind::kGrant && from != self_) {
      PermitMessage give_back = message;
      give_back.kind = PermitMessageKind::kRelease;
      actions.messages.push_back({from, give_back});
    }
    return;
  }
  Pending& pending = found->second;
  if (pending.max_rejections == 0 && message.max_rejections > 0) {
    noteTold(pending, message.max_rejections);
  }
  switch (message.kind) {
    case PermitMessageKind::kGrant:
      grant(message.number, from, actions);
      return;
    case PermitMessageKind::kUnneeded:
      pending_.erase(found);
      actions.decisions.push_back({message.number, true, true, absl::ZeroDuration(), false, false});
      return;
    case PermitMessageKind::kDeny:
      if (!pending.only_inquires) {
        pending.retry_after = std::min(pending.retry_after, message.retry_after);
      }
      pending.only_inquires = pending.only_inquires || message.max_rejections == 0;
      break;
    default:
      break;
  }
  askNext(message.number, now, actions);
}

// A holder told what the server stands: only the holders of its permits are asked now.
void SharedPermits::noteTold(Pending& pending, uint32_t max_rejections) {
  pending.max_rejections = max_rejections;
  pending.only_inquires = false;
  const std::vector<NodeId> holders = holders_.holdersOf(subjectOf(pending.server), partsFor(max_rejections));
  const auto next = pending.holders.begin() + static_cast<ptrdiff_t>(pending.asked);
  pending.holders.erase(std::remove_if(next, pending.holders.end(),
                                       [&holders](const NodeId& holder) {
                                         return std::find(holders.begin(), holders.end(), holder) ==
                                                holders.end();
                                       }),
                        pending.holders.end());
}

void SharedPermits::onTick(absl::Time now, PermitActions& actions) {
  std::vector<uint64_t> silent;
  for (const auto& [number, pending] : pending_) {
    if (now - pending.asked_at >= kResponseTimeout) {
      silent.push_back(number);
    }
  }
  for (const uint64_t number : silent) {
    Pending& pending = pending_.at(number);
    if (pending.max_rejections == 0 && pending.asked == 1) {
      pending.is_first_silent = !pending.only_inquires || pending.is_first_silent;
      pending.only_inquires = true;
    }
    holders_.ranks().noteSilence(pending.holders[pending.asked - 1]);
    askNext(number, now, actions);
  }
  for (auto held = held_.begin(); held != held_.end();) {
    auto& [number, permit] = *held;
    if (permit.holder == self_) {
      PermitMessage own;
      own.number = number;
      own.server = permit.server;
      if (now >= permit.renew_at && renew(self_, own, now)) {
        permit.renew_at = now + kRenewInterval;
        permit.lease_until = now + kLease;
      }
    } else if (now >= permit.renew_at && now < permit.lease_until) {
      actions.messages.push_back({permit.holder,
                                  {PermitMessageKind::kRenew, number, permit.server, 0, ++permit.renewals, 1,
                                   absl::ZeroDuration()}});
      permit.last_renewal = now;
      permit.renew_at = now + kRenewInterval;
    }
    if (now >= permit.lease_until) {
      actions.lost.push_back(number);
      held = held_.erase(held);
    } else {
      ++held;
    }
  }
}

absl::Time SharedPermits::nextWakeup() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [number, pending] : pending_) {
    next = std::min(next, pending.asked_at + kResponseTimeout);
  }
  for (const auto& [number, held] : held_) {
    next = std::min({next, held.renew_at, held.lease_until});
  }
  return next;
}

void SharedPermits::forgetIdleAccounts(absl::Time now) {
  if (accounts_.size() < kMaxAccounts) {
    return;
  }
  absl::erase_if(accounts_, [now](auto& entry) {
    dropExpired(entry.second, now);
    return entry.second.permits.empty() && entry.second.cooling.empty();
  });
}

}  // namespace quincewick::quota
