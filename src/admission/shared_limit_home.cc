#include "admission/shared_limit_home.h"

#include <algorithm>
#include <cmath>

namespace quincewick::admission {
namespace {

// Sequences of a later incarnation are above all of an earlier one.
constexpr uint32_t kIncarnationShift = 32;
constexpr absl::Duration kIdleAccountTime = absl::Seconds(30);
constexpr absl::Duration kShortestRetryAfter = absl::Milliseconds(50);
constexpr absl::Duration kLongestRetryAfter = absl::Minutes(1);

uint32_t retryAfterMilliseconds(absl::Duration wait) {
  const absl::Duration bounded = std::clamp(wait, kShortestRetryAfter, kLongestRetryAfter);
  return static_cast<uint32_t>(absl::ToInt64Milliseconds(bounded));
}

// A permit comes back when some request ends: nobody knows when.
constexpr absl::Duration kPermitRetryAfter = absl::Seconds(1);

// The income of a limit, from seconds earned of it.
LimitIncome incomeOf(double per_second, const LimitIncome& seconds) {
  if (per_second == kUnlimited) {
    return LimitIncome{};
  }
  return LimitIncome{seconds.since_last * per_second, seconds.capacity * per_second,
                     seconds.in_window * per_second, seconds.per_second * per_second,
                     seconds.leased * per_second};
}

}  // namespace

SharedLimitHome::SharedLimitHome(SharedLimitConfiguration configuration, NodeId self, Incarnation incarnation,
                                 absl::Time now)
    : configuration_(configuration),
      self_(std::move(self)),
      started_(now),
      sequence_(incarnation.value() << kIncarnationShift) {}

void SharedLimitHome::setDirectory(std::shared_ptr<const LimitDirectory> directory, absl::Time now,
                                   SharedLimitActions& actions) {
  const SlotSet slots = directory->slotsOf(self_);
  SlotSet lost;
  for (uint32_t slot = 0; slot < kLimitSlots; ++slot) {
    if (isHeld(slot) && !slots.contains(slot)) {
      lost.insert(slot);
    }
  }
  if (!(slots == slots_) || directory->collectors() != directory_->collectors()) {
    last_poll_ = absl::InfinitePast();
  }
  slots_ = slots;
  owing_slots_ = lost;
  releaseLostSlots(now, actions);
  directory_ = std::move(directory);
  absl::erase_if(newest_asks_, [&](const auto& entry) { return !directory_->contains(entry.first); });
}

void SharedLimitHome::setLimits(std::shared_ptr<const TenantLimits> limits) {
  limits_ = std::move(limits);
}

void SharedLimitHome::onAsks(const NodeId& from, const LimitAskBatch& batch, absl::Time now,
                             SharedLimitActions& actions) {
  uint64_t& newest = newest_asks_[from];
  if (batch.sequence <= newest) {
    return;
  }
  newest = batch.sequence;
  LimitGrantBatch reply;
  reply.sequence = batch.sequence;
  for (const LimitAsk& ask : batch.asks) {
    const LimitGrant grant = answer(from, ask, now);
    if (ask.requests > 0 || ask.permits > 0) {
      reply.grants.push_back(grant);
    }
  }
  if (!reply.grants.empty()) {
    actions.push_back(SendToPeer{from, std::move(reply)});
  }
}

void SharedLimitHome::onLease(const NodeId& from, const RightsLease& lease, absl::Time now) {
  const auto poll = polls_.find(from);
  const bool awaited = poll != polls_.end() && poll->second.sequence == lease.sequence;
  if (lease.level != RightsLevel::kZone || !awaited) {
    return;
  }
  const absl::Time end = poll->second.sent + configuration_.lesseeTime(configuration_.zone_lease);
  for (uint32_t slot = 0; slot < kLimitSlots; ++slot) {
    if (!lease.slots.contains(slot) || !isHeld(slot) || end <= now) {
      continue;
    }
    const auto [entry, inserted] = rights_[slot].try_emplace(from, HeldRights{lease.rights, now, end});
    HeldRights& held = entry->second;
    if (held.end <= now || lease.rights > held.rights) {
      held.from = now;
    }
    held.rights = lease.rights;
    held.end = end;
  }
}

void SharedLimitHome::onTick(absl::Time now, SharedLimitActions& actions) {
  if (now - last_poll_ < configuration_.renewal_interval) {
    return;
  }
  last_poll_ = now;
  releaseLostSlots(now, actions);
  requestLeases(now, actions);
  forgetIdleAccounts(now);
}

double SharedLimitHome::heldShare(uint32_t slot, absl::Time now) const {
  double rights = 0;
  for (const auto& [collector, held] : rights_[slot]) {
    rights += held.end > now ? held.rights : 0;
  }
  return rights / configuration_.node_count;
}

void SharedLimitHome::releaseLostSlots(absl::Time now, SharedLimitActions& actions) {
  SlotSet owing;
  SlotSet paid;
  for (uint32_t slot = 0; slot < kLimitSlots; ++slot) {
    if (owing_slots_.contains(slot)) {
      (owes(slot, now) ? owing : paid).insert(slot);
    }
  }
  owing_slots_ = owing;
  if (!paid.empty()) {
    release(paid, actions);
  }
}

// Whether a tenant of the slot was granted more than came up. A successor wouldn't know of it.
bool SharedLimitHome::owes(uint32_t slot, absl::Time now) {
  bool owes = false;
  for (auto& [tenant, account] : accounts_) {
    const auto limit = limits_->find(tenant);
    if (limitSlotOf(tenant) == slot && limit != limits_->end()) {
      accrue(tenant, limit->second, account, now);
      owes = owes || account.tokens.owes() || account.requests.owes();
    }
  }
  return owes;
}

void SharedLimitHome::release(const SlotSet& slots, SharedLimitActions& actions) {
  ++sequence_;
  for (const auto& [zone, collector] : directory_->collectors()) {
    actions.push_back(SendToPeer{collector, RightsRelease{sequence_, slots}});
  }
  for (uint32_t slot = 0; slot < kLimitSlots; ++slot) {
    if (slots.contains(slot)) {
      rights_[slot].clear();
    }
  }
}

void SharedLimitHome::requestLeases(absl::Time now, SharedLimitActions& actions) {
  polls_.clear();
  SlotSet slots = slots_;
  for (uint32_t slot = 0; slot < kLimitSlots; ++slot) {
    if (owing_slots_.contains(slot)) {
      slots.insert(slot);
    }
  }
  if (slots.empty()) {
    return;
  }
  ++sequence_;
  for (const auto& [zone, collector] : directory_->collectors()) {
    polls_[collector] = Poll{sequence_, now};
    actions.push_back(SendToPeer{collector, RightsRequest{RightsLevel::kZone, false, sequence_, slots}});
  }
  for (auto& slot_rights : rights_) {
    absl::erase_if(slot_rights,
                   [&](const auto& entry) { return entry.second.end + configuration_.burst < now; });
  }
}

void SharedLimitHome::forgetIdleAccounts(absl::Time now) {
  absl::erase_if(accounts_, [&](auto& entry) {
    LimitAccount& account = entry.second;
    absl::erase_if(account.permits, [&](const auto& permits) {
      return now - permits.second.heard > configuration_.forget_permits_after;
    });
    return account.permits.empty() && now - account.last_ask > kIdleAccountTime;
  });
}

// Seconds of the whole limit that the held rights earned between the two times.
double SharedLimitHome::earnedSeconds(uint32_t slot, absl::Time from, absl::Time now) const {
  double earned = 0;
  for (const auto& [collector, held] : rights_[slot]) {
    const absl::Duration overlap = std::min(now, held.end) - std::max(from, held.from);
    earned += held.rights * std::max(0.0, absl::ToDoubleSeconds(overlap));
  }
  return earned * (1 - configuration_.drift_bound) / configuration_.node_count;
}

// Seconds of the whole limit that the held rights will earn before they end.
double SharedLimitHome::leasedSeconds(uint32_t slot, absl::Time now) const {
  double leased = 0;
  for (const auto& [collector, held] : rights_[slot]) {
    leased += held.rights * std::max(0.0, absl::ToDoubleSeconds(held.end - now));
  }
  return leased * (1 - configuration_.drift_bound) / configuration_.node_count;
}

LimitIncome SharedLimitHome::earned(uint32_t slot, absl::Time accrued_until, absl::Time now) const {
  const absl::Time oldest_kept = now - configuration_.burst;
  LimitIncome seconds;
  seconds.since_last = earnedSeconds(slot, std::max(now - kLimitWindow, accrued_until), now);
  seconds.capacity = earnedSeconds(slot, oldest_kept, now);
  seconds.in_window = earnedSeconds(slot, now - kLimitWindow, now);
  seconds.per_second = heldShare(slot, now);
  seconds.leased = leasedSeconds(slot, now);
  return seconds;
}

// Returns the income in seconds of the limit.
LimitIncome SharedLimitHome::accrue(const TenantId& tenant, const TenantLimit& limit, LimitAccount& account,
                                    absl::Time now) {
  const LimitIncome seconds = earned(limitSlotOf(tenant), account.accrued_until, now);
  account.accrued_until = now;
  account.tokens.accrue(incomeOf(limit.tokens_per_second, seconds), now);
  account.requests.accrue(incomeOf(limit.requests_per_second, seconds), now);
  return seconds;
}

LimitGrant SharedLimitHome::answer(const NodeId& from, const LimitAsk& ask, absl::Time now) {
  LimitGrant grant;
  grant.tenant = ask.tenant;
  const auto limit_entry = limits_->find(ask.tenant);
  const uint32_t slot = limitSlotOf(ask.tenant);
  if (limit_entry == limits_->end() || !slots_.contains(slot) || heldShare(slot, now) <= 0) {
    grant.retry_after_milliseconds = retryAfterMilliseconds(configuration_.zone_lease);
    return grant;
  }
  const TenantLimit& limit = limit_entry->second;
  LimitAccount& account = accounts_[ask.tenant];
  account.last_ask = now;
  const LimitIncome seconds = accrue(ask.tenant, limit, account, now);

  LimitAsk permitted = ask;
  permitted.requests =
      std::min(ask.requests, freePermits(account, from, ask, limit.concurrent_requests, now));
  if (permitted.requests == 0) {
    grant.retry_after_milliseconds = retryAfterMilliseconds(kPermitRetryAfter);
    return grant;
  }
  const LimitBalance::Taken taken = takeRates(account, limit, permitted, grant, seconds, now);
  if (grant.requests == 0) {
    const absl::Duration wait = std::max(taken.retry_after, account.recordDenial(now));
    grant.retry_after_milliseconds = retryAfterMilliseconds(wait);
    return grant;
  }
  if (limit.concurrent_requests != kUnlimited) {
    grant.permits = grant.requests;
    LimitAccount::NodePermits& permits_of_node = account.permits[from];
    permits_of_node.held += grant.permits;
    permits_of_node.heard = now;
  }
  return grant;
}

// Tokens and requests are granted together or not at all.
LimitBalance::Taken SharedLimitHome::takeRates(LimitAccount& account, const TenantLimit& limit,
                                               const LimitAsk& ask, LimitGrant& grant,
                                               const LimitIncome& seconds, absl::Time now) const {
  LimitBalance::Taken requests{static_cast<double>(ask.requests), absl::ZeroDuration()};
  if (limit.requests_per_second != kUnlimited) {
    requests = account.requests.take(ask.requests, 1, incomeOf(limit.requests_per_second, seconds), now);
  }
  const double whole_requests = std::floor(requests.amount);
  if (whole_requests < 1) {
    return requests;
  }
  LimitBalance::Taken tokens{static_cast<double>(ask.tokens), absl::ZeroDuration()};
  if (limit.tokens_per_second != kUnlimited && ask.tokens > 0) {
    tokens = account.tokens.take(ask.tokens, std::max<uint32_t>(1, ask.minimum_tokens),
                                 incomeOf(limit.tokens_per_second, seconds), now);
  }
  const bool enough = tokens.amount >= ask.minimum_tokens;
  const double unused = requests.amount - (enough ? whole_requests : 0);
  if (limit.requests_per_second != kUnlimited) {
    account.requests.putBack(unused, now);
  }
  if (!enough) {
    return tokens;
  }
  grant.requests = static_cast<uint16_t>(whole_requests);
  grant.tokens = static_cast<uint32_t>(tokens.amount);
  return tokens;
}

// The permits that `from` may get, after what it reports and what all other nodes hold.
uint16_t SharedLimitHome::freePermits(LimitAccount& account, const NodeId& from, const LimitAsk& ask,
                                      double limit, absl::Time now) const {
  if (limit == kUnlimited) {
    return ask.permits;
  }
  if (ask.in_use == 0) {
    account.permits.erase(from);
  } else {
    account.permits[from] = LimitAccount::NodePermits{ask.in_use, now};
  }
  double held = 0;
  for (const auto& [node, permits] : account.permits) {
    held += permits.held;
  }
  const double available = limit * heldShare(limitSlotOf(ask.tenant), now) - held;
  return static_cast<uint16_t>(std::clamp(std::floor(available), 0.0, static_cast<double>(ask.permits)));
}

}  // namespace quincewick::admission
