// A queue that serves tenants in proportion to their weights (start-time fair queueing).
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "types/inference_request.h"

namespace quincewick::admission {

// A request that waits for its start.
struct WaitingRequest {
  uint64_t sequence = 0;  // unique; the order of arrival
  InferenceRequest request;
  double cost = 0;                      // engine work, in the unit the caller chose; above 0
  absl::Duration expected_first_token;  // after the start, on an unloaded engine
  absl::Time expiry;                    // refused if it has not started by then
};

// Requests of one urgency class. A tenant that has waited in vain is served before one that has had its
// share; a tenant that was idle gains no credit for it. A plain value without threads. Ties go to the tenant
// whose name sorts first, so the order depends on the inputs alone.
class FairQueue {
 public:
  // Appends to the tenant's own queue. `weight` (above 0) counts from the tenant's next start on.
  void push(WaitingRequest waiting, double weight);

  // The request that is next to start, or nothing. Valid until the next change.
  const WaitingRequest* front() const;

  // Removes and returns the request that is next to start. The queue must not be empty.
  WaitingRequest pop();

  // Removes a waiting request without serving it; its tenant is charged nothing.
  std::optional<WaitingRequest> remove(const TenantId& tenant, uint64_t sequence);

  // The tenant whose waiting work is largest for its weight, or nothing when nothing waits.
  std::optional<TenantId> mostBacklogged() const;

  // Removes the newest request of a tenant that has some waiting.
  WaitingRequest popNewest(const TenantId& tenant);

  size_t size() const { return size_; }
  size_t sizeOf(const TenantId& tenant) const;
  double backlog() const { return backlog_; }
  double backlogOf(const TenantId& tenant) const;
  // The sum of the weights of tenants that have requests waiting.
  double activeWeight() const { return active_weight_; }
  // Tenants remembered: those with requests waiting and those served beyond the current virtual time.
  size_t rememberedTenants() const { return tenants_.size(); }

 private:
  struct TenantState {
    std::deque<WaitingRequest> waiting;
    double weight = 1;
    double start_tag = 0;  // virtual time at which the head may start
    double backlog = 0;
  };
  using Order = absl::btree_set<std::pair<double, TenantId>>;

  WaitingRequest take(const TenantId& tenant, TenantState& state,
                      const std::deque<WaitingRequest>::iterator& entry);
  void deactivate(const TenantId& tenant, TenantState& state);
  void forgetIdle();

  absl::btree_map<TenantId, TenantState> tenants_;
  Order active_;  // by start tag: tenants with requests waiting
  Order idle_;    // by start tag: tenants without, served beyond the virtual time
  double virtual_time_ = 0;
  double backlog_ = 0;
  double active_weight_ = 0;
  size_t size_ = 0;
};

}  // namespace quincewick::admission
