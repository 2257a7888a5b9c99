// Acquires shares of limits from the gateways that hold the limits' parts, and grants from the parts that
// this gateway holds, by datagrams. There is one instance for each kind of limit.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>

#include "gateway/core.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "quota/shared_quotas.h"

namespace quincewick::gateway {

class QuotaExchange {
 public:
  // `module`: envelope type of the messages of this kind of limit.
  QuotaExchange(Core& core, PeerDirectory& directory, PeerExchange& peers, peer::PeerModule module,
                const quota::LimitTolerance& tolerance, quota::SharedQuotas::LimitOf limit_of);

  void start();

  // Requests `cost` of the limit, in its unit. Calls `on_decision` once, perhaps before this returns. Returns
  // the request number to pass to `cancel`.
  using DecisionCallback = std::function<void(const quota::QuotaDecision& decision)>;
  uint64_t acquire(const quota::LimitName& name, double cost, DecisionCallback on_decision);
  void cancel(uint64_t number);
  // Returns a grant that was not used, as the request never ran.
  void refund(const quota::LimitName& name, double cost, const NodeId& owner);
  void setTolerance(const quota::LimitTolerance& tolerance) { quotas_.setTolerance(tolerance); }

 private:
  Result<void> receive(const NodeId& from, std::string_view payload);
  void execute(const quota::QuotaActions& actions);
  void heartbeat();
  void updateMembers();
  void scheduleTick();

  Core& core_;
  PeerDirectory& directory_;
  PeerExchange& peers_;
  peer::PeerModule module_;
  quota::SharedQuotas quotas_;
  bool has_members_ = false;
  absl::flat_hash_map<uint64_t, DecisionCallback> waiting_;
  reactor::TimerQueue::Key timer_;
  absl::Time timer_at_ = absl::InfiniteFuture();
};

}  // namespace quincewick::gateway
