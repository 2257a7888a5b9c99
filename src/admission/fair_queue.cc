#include "admission/fair_queue.h"

#include <algorithm>

namespace quincewick::admission {

void FairQueue::push(WaitingRequest waiting, double weight) {
  const TenantId tenant = waiting.request.tenant;
  TenantState& state = tenants_[tenant];
  if (state.waiting.empty()) {
    idle_.erase({state.start_tag, tenant});
    state.weight = weight;
    state.start_tag = std::max(state.start_tag, virtual_time_);
    active_.insert({state.start_tag, tenant});
    active_weight_ += weight;
  }
  state.backlog += waiting.cost;
  backlog_ += waiting.cost;
  ++size_;
  state.waiting.push_back(std::move(waiting));
}

const WaitingRequest* FairQueue::front() const {
  if (active_.empty()) {
    return nullptr;
  }
  return &tenants_.find(active_.begin()->second)->second.waiting.front();
}

WaitingRequest FairQueue::pop() {
  const auto [start_tag, tenant] = *active_.begin();
  TenantState& state = tenants_.find(tenant)->second;
  active_.erase(active_.begin());
  virtual_time_ = start_tag;
  state.start_tag += state.waiting.front().cost / state.weight;
  active_.insert({state.start_tag, tenant});
  WaitingRequest served = take(tenant, state, state.waiting.begin());
  forgetIdle();
  return served;
}

std::optional<WaitingRequest> FairQueue::remove(const TenantId& tenant, uint64_t sequence) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) {
    return std::nullopt;
  }
  TenantState& state = found->second;
  const auto entry =
      std::find_if(state.waiting.begin(), state.waiting.end(),
                   [&](const WaitingRequest& waiting) { return waiting.sequence == sequence; });
  if (entry == state.waiting.end()) {
    return std::nullopt;
  }
  return take(tenant, state, entry);
}

std::optional<TenantId> FairQueue::mostBacklogged() const {
  const TenantId* largest = nullptr;
  double largest_backlog = 0;
  for (const auto& [start_tag, tenant] : active_) {
    const TenantState& state = tenants_.find(tenant)->second;
    const double normalised = state.backlog / state.weight;
    if (normalised > largest_backlog) {
      largest = &tenant;
      largest_backlog = normalised;
    }
  }
  return largest == nullptr ? std::nullopt : std::optional<TenantId>(*largest);
}

WaitingRequest FairQueue::popNewest(const TenantId& tenant) {
  TenantState& state = tenants_.find(tenant)->second;
  return take(tenant, state, std::prev(state.waiting.end()));
}

size_t FairQueue::sizeOf(const TenantId& tenant) const {
  const auto found = tenants_.find(tenant);
  return found == tenants_.end() ? 0 : found->second.waiting.size();
}

double FairQueue::backlogOf(const TenantId& tenant) const {
  const auto found = tenants_.find(tenant);
  return found == tenants_.end() ? 0 : found->second.backlog;
}

WaitingRequest FairQueue::take(const TenantId& tenant, TenantState& state,
                               const std::deque<WaitingRequest>::iterator& entry) {
  WaitingRequest taken = std::move(*entry);
  state.waiting.erase(entry);
  state.backlog -= taken.cost;
  backlog_ -= taken.cost;
  --size_;
  if (state.waiting.empty()) {
    deactivate(tenant, state);
  }
  return taken;
}

void FairQueue::deactivate(const TenantId& tenant, TenantState& state) {
  active_.erase({state.start_tag, tenant});
  active_weight_ -= state.weight;
  state.backlog = 0;
  idle_.insert({state.start_tag, tenant});
  if (!active_.empty()) {
    return;
  }
  // Nothing waits: everybody starts from the same point again, and rounding errors end here.
  tenants_.clear();
  idle_.clear();
  virtual_time_ = 0;
  backlog_ = 0;
  active_weight_ = 0;
}

void FairQueue::forgetIdle() {
  while (!idle_.empty() && idle_.begin()->first <= virtual_time_) {
    tenants_.erase(idle_.begin()->second);
    idle_.erase(idle_.begin());
  }
}

}  // namespace quincewick::admission
