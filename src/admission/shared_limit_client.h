// Holds a node's requests to the tenants' limits that all nodes share.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "admission/limit_slots.h"
#include "admission/shared_limit_types.h"

namespace quincewick::admission {

// How much a tenant asks of one node, fading over a few seconds.
struct LimitDemand {
  double tokens = 0;
  double requests = 0;
  absl::Time updated = absl::InfinitePast();
};

// Each request of a limited tenant is paid for from what the tenant's home has granted to this node; when
// that isn't enough the home is asked, for a busy tenant ahead of need. Grants lapse soon, by this node's
// clock since the ask, so a paused or cut-off node uses nothing old. A request that gets no grant in time is
// refused at once. Tenants without a limit cost nothing. Not thread-safe.
class SharedLimitClient {
 public:
  SharedLimitClient(SharedLimitConfiguration configuration, NodeId self, Incarnation incarnation);

  void setDirectory(std::shared_ptr<const LimitDirectory> directory) { directory_ = std::move(directory); }
  void setLimits(std::shared_ptr<const TenantLimits> limits) { limits_ = std::move(limits); }

  // Answered by exactly one LimitDecision, now or within the decision timeout.
  void onRequest(const RequestId& id, const TenantId& tenant, uint32_t tokens, absl::Time now,
                 absl::BitGenRef random, SharedLimitActions& actions);
  // An allowed request of the tenant has ended.
  void onRequestEnded(const TenantId& tenant);
  void onGrants(const NodeId& from, const LimitGrantBatch& batch, absl::Time now, absl::BitGenRef random,
                SharedLimitActions& actions);
  void onTick(absl::Time now, absl::BitGenRef random, SharedLimitActions& actions);

  // Requests without a decision yet. While there are any, ticks are due every few milliseconds.
  size_t waiting() const { return waiting_; }
  size_t tenants() const { return tenants_.size(); }

 private:
  struct WaitingLimit {
    RequestId id;
    uint32_t tokens = 0;
    absl::Time give_up;
  };
  // Part of a grant that is not used yet.
  struct Portion {
    uint32_t tokens = 0;
    uint32_t requests = 0;
    uint32_t permits = 0;
    absl::Time end;
  };
  struct TenantState {
    std::deque<WaitingLimit> waiting;
    std::vector<Portion> portions;
    LimitDemand demand;
    uint32_t running = 0;   // permits in use
    uint32_t reported = 0;  // permits in use as last told to the home
    uint64_t asked = 0;     // the ask that is out; 0: none
    absl::Time ask_sent;
    absl::Time ask_again = absl::InfinitePast();  // told by the home to wait until then
    absl::Time denied_until = absl::InfinitePast();
    uint32_t denied_tokens = 0;  // what was denied: as much or more is denied again until then
    absl::Time last_request;
  };

  const TenantLimit* limitOf(const TenantId& tenant) const;
  bool spend(TenantState& state, const TenantLimit& limit, uint32_t tokens, absl::Time now) const;
  void serveWaiting(TenantState& state, const TenantLimit& limit, absl::Time now,
                    SharedLimitActions& actions);
  void refuseFirst(TenantState& state, RefusalReason reason, absl::Duration retry_after,
                   absl::BitGenRef random, SharedLimitActions& actions);
  void refuseLate(TenantState& state, absl::Time now, absl::BitGenRef random, SharedLimitActions& actions);
  void onDenied(TenantState& state, absl::Duration retry_after, absl::Time now, absl::BitGenRef random,
                SharedLimitActions& actions);
  void askIfNeeded(const TenantId& tenant, TenantState& state, const TenantLimit& limit, absl::Time now,
                   SharedLimitActions& actions);
  LimitAsk wantedOf(const TenantId& tenant, const TenantState& state, const TenantLimit& limit,
                    absl::Time now) const;
  void report(absl::Time now, SharedLimitActions& actions);
  static uint16_t permitsInUse(const TenantState& state);
  static void dropLapsed(TenantState& state, absl::Time now);

  SharedLimitConfiguration configuration_;
  NodeId self_;
  std::shared_ptr<const LimitDirectory> directory_ = std::make_shared<LimitDirectory>();
  std::shared_ptr<const TenantLimits> limits_ = std::make_shared<TenantLimits>();
  absl::btree_map<TenantId, TenantState> tenants_;
  absl::btree_set<TenantId> busy_;  // tenants with requests waiting
  size_t waiting_ = 0;
  uint64_t sequence_;
  absl::Time last_report_ = absl::InfinitePast();
};

}  // namespace quincewick::admission
