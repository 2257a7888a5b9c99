// Tenants' limits that all nodes share: the three parts that every node runs, behind one event handler.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <variant>
#include <vector>

#include "admission/limit_rights.h"
#include "admission/shared_limit_client.h"
#include "admission/shared_limit_home.h"
#include "admission/shared_limit_types.h"

namespace quincewick::admission {

// The nodes that are alive as this node sees it, itself among them.
struct LimitMembersChanged {
  std::vector<LimitMember> members;
};

// New limits, from an accepted configuration.
struct TenantLimitsChanged {
  TenantLimits limits;
};

// May a request of the tenant start? `tokens`: what it is charged.
struct LimitRequested {
  RequestId id;
  TenantId tenant;
  uint32_t tokens = 0;
};

// An allowed request has ended. Needed for tenants with a limit on concurrent requests.
struct LimitedRequestEnded {
  TenantId tenant;
};

struct LimitMessageReceived {
  NodeId from;
  LimitMessage message;
};

struct LimitTick {};

using SharedLimitEvent = std::variant<LimitMembersChanged, TenantLimitsChanged, LimitRequested,
                                      LimitedRequestEnded, LimitMessageReceived, LimitTick>;

// One for each node. No two homes ever give out the same part of a limit, whatever members they see: see
// LimitRights. Each LimitRequested gets exactly one LimitDecision. Not thread-safe: the owner calls it from
// one thread at a time. Only differences of `now` count: nodes' clocks need not agree.
class SharedLimits {
 public:
  SharedLimits(const SharedLimitConfiguration& configuration, const NodeId& self, const ZoneName& zone,
               Incarnation incarnation, absl::Time now);

  SharedLimitActions handle(const SharedLimitEvent& event, absl::Time now, absl::BitGenRef random);

  // When the next LimitTick is due.
  absl::Time nextWakeup(absl::Time now) const;

  const SharedLimitHome& home() const { return home_; }
  const SharedLimitClient& client() const { return client_; }

 private:
  void on(const LimitMembersChanged& event, absl::Time now, absl::BitGenRef random,
          SharedLimitActions& actions);
  void on(const TenantLimitsChanged& event, absl::Time now, absl::BitGenRef random,
          SharedLimitActions& actions);
  void on(const LimitRequested& event, absl::Time now, absl::BitGenRef random, SharedLimitActions& actions);
  void on(const LimitedRequestEnded& event, absl::Time now, absl::BitGenRef random,
          SharedLimitActions& actions);
  void on(const LimitMessageReceived& event, absl::Time now, absl::BitGenRef random,
          SharedLimitActions& actions);
  void on(const LimitTick& event, absl::Time now, absl::BitGenRef random, SharedLimitActions& actions);

  LimitRights rights_;
  SharedLimitHome home_;
  SharedLimitClient client_;
};

}  // namespace quincewick::admission
