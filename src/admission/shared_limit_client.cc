#include "admission/shared_limit_client.h"

#include <absl/random/uniform_real_distribution.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace quincewick::admission {
namespace {

// Sequences of a later incarnation are above all of an earlier one.
constexpr uint32_t kIncarnationShift = 32;
constexpr double kDemandFadingSeconds = 2;
constexpr absl::Duration kIdleStateTime = absl::Seconds(10);
constexpr absl::Duration kUnavailableRetryAfter = absl::Seconds(1);
// A denial is believed for a time between these: others may have stopped asking.
constexpr absl::Duration kShortestDenial = absl::Milliseconds(10);
constexpr absl::Duration kLongestDenial = absl::Seconds(1);
// Retry-After is spread up to this factor, so that refused callers don't come back all at once.
constexpr double kRetrySpread = 1.5;
constexpr uint32_t kLargestCount = std::numeric_limits<uint16_t>::max();

uint16_t toCount(double value) {
  return static_cast<uint16_t>(std::clamp(value, 0.0, static_cast<double>(kLargestCount)));
}

}  // namespace

SharedLimitClient::SharedLimitClient(SharedLimitConfiguration configuration, NodeId self,
                                     Incarnation incarnation)
    : configuration_(configuration),
      self_(std::move(self)),
      sequence_(incarnation.value() << kIncarnationShift) {}

void SharedLimitClient::onRequest(const RequestId& id, const TenantId& tenant, uint32_t tokens,
                                  absl::Time now, absl::BitGenRef random, SharedLimitActions& actions) {
  const TenantLimit* limit = limitOf(tenant);
  if (limit == nullptr) {
    actions.push_back(LimitDecision{id, true, Refusal()});
    return;
  }
  TenantState& state = tenants_[tenant];
  state.last_request = now;
  LimitDemand& demand = state.demand;
  const double fade = std::exp(-absl::ToDoubleSeconds(now - demand.updated) / kDemandFadingSeconds);
  demand = LimitDemand{demand.tokens * fade + tokens, demand.requests * fade + 1, now};
  state.waiting.push_back(WaitingLimit{id, tokens, now + configuration_.decision_timeout});
  ++waiting_;
  serveWaiting(state, *limit, now, actions);
  const bool denied = now < state.denied_until && tokens >= state.denied_tokens;
  if (!state.waiting.empty() &&
      (denied || state.waiting.size() > configuration_.maximum_waiting_per_tenant)) {
    std::rotate(state.waiting.begin(), std::prev(state.waiting.end()), state.waiting.end());
    const absl::Duration wait = std::max(state.denied_until - now, configuration_.ask_timeout);
    refuseFirst(state, RefusalReason::kTenantLimit, wait, random, actions);
  }
  askIfNeeded(tenant, state, *limit, now, actions);
}

void SharedLimitClient::onRequestEnded(const TenantId& tenant) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end() && found->second.running > 0) {
    --found->second.running;
  }
}

void SharedLimitClient::onGrants(const NodeId& /*from*/, const LimitGrantBatch& batch, absl::Time now,
                                 absl::BitGenRef random, SharedLimitActions& actions) {
  for (const LimitGrant& grant : batch.grants) {
    const auto found = tenants_.find(grant.tenant);
    const TenantLimit* limit = limitOf(grant.tenant);
    const bool awaited = found != tenants_.end() && found->second.asked == batch.sequence;
    if (!awaited || limit == nullptr) {
      continue;
    }
    TenantState& state = found->second;
    state.asked = 0;
    const absl::Time end = state.ask_sent + configuration_.lesseeTime(configuration_.grant_lifetime);
    if (grant.requests > 0 && end > now) {
      state.portions.push_back(Portion{grant.tokens, grant.requests, grant.permits, end});
    }
    serveWaiting(state, *limit, now, actions);
    if (grant.requests == 0) {
      onDenied(state, absl::Milliseconds(grant.retry_after_milliseconds), now, random, actions);
    }
    askIfNeeded(grant.tenant, state, *limit, now, actions);
  }
}

void SharedLimitClient::onTick(absl::Time now, absl::BitGenRef random, SharedLimitActions& actions) {
  const std::vector<TenantId> busy(busy_.begin(), busy_.end());
  for (const TenantId& tenant : busy) {
    TenantState& state = tenants_[tenant];
    refuseLate(state, now, random, actions);
    if (const TenantLimit* limit = limitOf(tenant)) {
      askIfNeeded(tenant, state, *limit, now, actions);
    } else {
      while (!state.waiting.empty()) {
        actions.push_back(LimitDecision{state.waiting.front().id, true, Refusal()});
        state.waiting.pop_front();
        --waiting_;
      }
      busy_.erase(tenant);
    }
  }
  if (now - last_report_ >= configuration_.report_interval) {
    last_report_ = now;
    report(now, actions);
  }
}

const TenantLimit* SharedLimitClient::limitOf(const TenantId& tenant) const {
  const auto found = limits_->find(tenant);
  return found == limits_->end() || found->second.unlimited() ? nullptr : &found->second;
}

// Takes a request's need from the portions, the oldest first; all or nothing.
bool SharedLimitClient::spend(TenantState& state, const TenantLimit& limit, uint32_t tokens,
                              absl::Time now) const {
  dropLapsed(state, now);
  const bool counts_tokens = limit.tokens_per_second != kUnlimited;
  const bool counts_permits = limit.concurrent_requests != kUnlimited;
  uint64_t held_tokens = 0;
  uint64_t held_requests = 0;
  for (const Portion& portion : state.portions) {
    held_tokens += portion.tokens;
    held_requests += counts_permits ? portion.permits : portion.requests;
  }
  if (held_requests == 0 || (counts_tokens && held_tokens < tokens)) {
    return false;
  }
  uint32_t missing = counts_tokens ? tokens : 0;
  bool counted = false;
  for (Portion& portion : state.portions) {
    const uint32_t used = std::min(missing, portion.tokens);
    portion.tokens -= used;
    missing -= used;
    if (!counted && portion.requests > 0) {
      --portion.requests;
      portion.permits -= std::min<uint32_t>(portion.permits, 1);
      counted = true;
    }
  }
  state.running += counts_permits ? 1 : 0;
  return true;
}

void SharedLimitClient::serveWaiting(TenantState& state, const TenantLimit& limit, absl::Time now,
                                     SharedLimitActions& actions) {
  while (!state.waiting.empty() && spend(state, limit, state.waiting.front().tokens, now)) {
    actions.push_back(LimitDecision{state.waiting.front().id, true, Refusal()});
    state.waiting.pop_front();
    --waiting_;
  }
}

void SharedLimitClient::refuseFirst(TenantState& state, RefusalReason reason, absl::Duration retry_after,
                                    absl::BitGenRef random, SharedLimitActions& actions) {
  const double spread = absl::uniform_real_distribution<double>(1, kRetrySpread)(random);
  const Refusal refusal{reason, refusalClass(reason), retry_after * spread, Execution::kNotRun};
  actions.push_back(LimitDecision{state.waiting.front().id, false, refusal});
  state.waiting.pop_front();
  --waiting_;
}

void SharedLimitClient::refuseLate(TenantState& state, absl::Time now, absl::BitGenRef random,
                                   SharedLimitActions& actions) {
  while (!state.waiting.empty() && state.waiting.front().give_up <= now) {
    refuseFirst(state, RefusalReason::kLimitUnavailable, kUnavailableRetryAfter, random, actions);
  }
}

// Requests that would give up before the home can grant them are refused now.
void SharedLimitClient::onDenied(TenantState& state, absl::Duration retry_after, absl::Time now,
                                 absl::BitGenRef random, SharedLimitActions& actions) {
  state.ask_again = now + std::clamp(retry_after, kShortestDenial, kLongestDenial);
  if (state.waiting.empty()) {
    return;
  }
  state.denied_tokens = state.waiting.front().tokens;
  state.denied_until = state.ask_again;
  while (!state.waiting.empty() && state.waiting.front().give_up <= now + retry_after) {
    refuseFirst(state, RefusalReason::kTenantLimit, retry_after, random, actions);
  }
}

void SharedLimitClient::askIfNeeded(const TenantId& tenant, TenantState& state, const TenantLimit& limit,
                                    absl::Time now, SharedLimitActions& actions) {
  if (state.waiting.empty()) {
    busy_.erase(tenant);
  } else {
    busy_.insert(tenant);
  }
  const bool ask_is_out = state.asked != 0 && now - state.ask_sent < configuration_.ask_timeout;
  if (ask_is_out || now < state.ask_again) {
    return;
  }
  const NodeId& home = directory_->homeOf(limitSlotOf(tenant));
  LimitAsk ask = wantedOf(tenant, state, limit, now);
  if (home.empty() || ask.requests == 0) {
    return;
  }
  ++sequence_;
  state.asked = sequence_;
  state.ask_sent = now;
  state.reported = ask.in_use;
  actions.push_back(SendToPeer{home, LimitAskBatch{sequence_, {std::move(ask)}}});
}

// What waits, and for a busy tenant half a lifetime's demand ahead, once less than half of that is left.
LimitAsk SharedLimitClient::wantedOf(const TenantId& tenant, const TenantState& state,
                                     const TenantLimit& limit, absl::Time now) const {
  LimitAsk ask;
  ask.tenant = tenant;
  ask.in_use = permitsInUse(state);
  double tokens = 0;
  for (const WaitingLimit& waiting : state.waiting) {
    tokens += waiting.tokens;
  }
  double requests = static_cast<double>(state.waiting.size());
  double held_tokens = 0;
  double held_requests = 0;
  for (const Portion& portion : state.portions) {
    held_tokens += portion.end > now ? portion.tokens : 0;
    held_requests += portion.end > now ? portion.requests : 0;
  }
  const double ahead_seconds = absl::ToDoubleSeconds(configuration_.grant_lifetime) / 2;
  const double ahead_requests = state.demand.requests / kDemandFadingSeconds * ahead_seconds;
  const bool busy_tenant = ahead_requests >= 1 && now >= state.denied_until;
  if (busy_tenant && (requests > 0 || held_requests < ahead_requests / 2)) {
    requests += ahead_requests;
    tokens += state.demand.tokens / kDemandFadingSeconds * ahead_seconds;
  }
  requests = std::max(0.0, std::ceil(requests) - held_requests);
  if (requests == 0 && !state.waiting.empty()) {
    requests = 1;
  }
  tokens = std::max(0.0, tokens - held_tokens);
  if (!state.waiting.empty()) {
    ask.minimum_tokens = static_cast<uint32_t>(std::max(0.0, state.waiting.front().tokens - held_tokens));
  }
  ask.requests = toCount(requests);
  ask.permits = limit.concurrent_requests == kUnlimited ? ask.requests : toCount(requests);
  const double largest = std::numeric_limits<uint32_t>::max();
  ask.tokens = limit.tokens_per_second == kUnlimited ? 0 : static_cast<uint32_t>(std::min(tokens, largest));
  ask.minimum_tokens = std::min(ask.minimum_tokens, ask.tokens);
  return ask;
}

void SharedLimitClient::report(absl::Time now, SharedLimitActions& actions) {
  absl::btree_map<NodeId, LimitAskBatch> batches;
  for (auto& [tenant, state] : tenants_) {
    dropLapsed(state, now);
    const uint16_t in_use = permitsInUse(state);
    const bool ask_is_out = state.asked != 0;
    if (ask_is_out || (in_use == 0 && state.reported == 0)) {
      continue;
    }
    LimitAsk ask;
    ask.tenant = tenant;
    ask.in_use = in_use;
    state.reported = in_use;
    batches[directory_->homeOf(limitSlotOf(tenant))].asks.push_back(std::move(ask));
  }
  for (auto& [home, batch] : batches) {
    if (!home.empty()) {
      batch.sequence = ++sequence_;
      actions.push_back(SendToPeer{home, std::move(batch)});
    }
  }
  absl::erase_if(tenants_, [&](const auto& entry) {
    const TenantState& state = entry.second;
    return state.waiting.empty() && state.running == 0 && state.reported == 0 &&
           now - state.last_request > kIdleStateTime;
  });
}

uint16_t SharedLimitClient::permitsInUse(const TenantState& state) {
  uint32_t in_use = state.running;
  for (const Portion& portion : state.portions) {
    in_use += portion.permits;
  }
  return toCount(in_use);
}

void SharedLimitClient::dropLapsed(TenantState& state, absl::Time now) {
  const auto lapsed = [&](const Portion& portion) {
    return portion.end <= now || (portion.tokens == 0 && portion.requests == 0);
  };
  state.portions.erase(std::remove_if(state.portions.begin(), state.portions.end(), lapsed),
                       state.portions.end());
}

}  // namespace quincewick::admission
