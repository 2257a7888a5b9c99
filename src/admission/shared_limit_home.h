// The home of tenants' limits: gives out what its leased rights earn.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <array>
#include <memory>
#include <vector>

#include "admission/limit_account.h"
#include "admission/limit_slots.h"
#include "admission/shared_limit_types.h"

namespace quincewick::admission {

// Serves the slots whose home is this node, with rights leased from the collector of each zone. A limit comes
// up only while and as far as rights are held, and is lost when it isn't used at once; so nothing of it is
// carried into, out of or past a crash, a pause or a cut. Not thread-safe.
class SharedLimitHome {
 public:
  SharedLimitHome(SharedLimitConfiguration configuration, NodeId self, Incarnation incarnation,
                  absl::Time now);

  void setDirectory(std::shared_ptr<const LimitDirectory> directory, absl::Time now,
                    SharedLimitActions& actions);
  void setLimits(std::shared_ptr<const TenantLimits> limits);

  void onAsks(const NodeId& from, const LimitAskBatch& batch, absl::Time now, SharedLimitActions& actions);
  void onLease(const NodeId& from, const RightsLease& lease, absl::Time now);
  // Renews leases when it is time, and forgets accounts out of use.
  void onTick(absl::Time now, SharedLimitActions& actions);

  // The share of the slot's limits that is held now, from 0 to 1.
  double heldShare(uint32_t slot, absl::Time now) const;
  size_t accounts() const { return accounts_.size(); }

 private:
  // Rights from one collector for one slot.
  struct HeldRights {
    uint32_t rights = 0;
    absl::Time from;  // earns since then
    absl::Time end;
  };
  struct Poll {
    uint64_t sequence = 0;
    absl::Time sent;
  };

  void release(const SlotSet& slots, SharedLimitActions& actions);
  // Releases the slots whose home is another node now, except those that owe.
  void releaseLostSlots(absl::Time now, SharedLimitActions& actions);
  bool owes(uint32_t slot, absl::Time now);
  bool isHeld(uint32_t slot) const { return slots_.contains(slot) || owing_slots_.contains(slot); }
  void requestLeases(absl::Time now, SharedLimitActions& actions);
  void forgetIdleAccounts(absl::Time now);
  double leasedSeconds(uint32_t slot, absl::Time now) const;
  double earnedSeconds(uint32_t slot, absl::Time from, absl::Time now) const;
  LimitIncome accrue(const TenantId& tenant, const TenantLimit& limit, LimitAccount& account, absl::Time now);
  LimitGrant answer(const NodeId& from, const LimitAsk& ask, absl::Time now);
  // Seconds of the whole limit that came up, by the times that matter.
  LimitIncome earned(uint32_t slot, absl::Time accrued_until, absl::Time now) const;
  uint16_t freePermits(LimitAccount& account, const NodeId& from, const LimitAsk& ask, double limit,
                       absl::Time now) const;
  LimitBalance::Taken takeRates(LimitAccount& account, const TenantLimit& limit, const LimitAsk& ask,
                                LimitGrant& grant, const LimitIncome& earned, absl::Time now) const;

  SharedLimitConfiguration configuration_;
  NodeId self_;
  absl::Time started_;
  std::shared_ptr<const LimitDirectory> directory_ = std::make_shared<LimitDirectory>();
  std::shared_ptr<const TenantLimits> limits_ = std::make_shared<TenantLimits>();
  SlotSet slots_;
  SlotSet owing_slots_;  // of another home now, held until what was granted on credit came up
  std::array<absl::btree_map<NodeId, HeldRights>, kLimitSlots> rights_;
  absl::btree_map<NodeId, Poll> polls_;
  absl::btree_map<NodeId, uint64_t> newest_asks_;
  absl::btree_map<TenantId, LimitAccount> accounts_;
  uint64_t sequence_;
  absl::Time last_poll_ = absl::InfinitePast();
};

}  // namespace quincewick::admission
