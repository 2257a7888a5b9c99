// Rates that servers named for all gateways together: a request may be sent to such a server once the keeper
// of its rate has granted it.
#pragma once

#include <cstdint>

#include "gateway/quota_exchange.h"

namespace quincewick::gateway {

// A request's part of a server's rate.
struct RateGrant {
  quota::LimitName name;
  double cost = 0;
  NodeId owner;
};

struct RateDecision {
  bool is_granted = false;
  absl::Duration retry_after;  // where it was denied
  RateGrant grant;
};

class ServerRates {
 public:
  ServerRates(Core& core, PeerDirectory& directory, PeerExchange& peers);

  void start() { exchange_.start(); }

  // May a request be sent to this server now? Calls `on_decision` once, perhaps before this returns. Returns
  // the number by which to `forget` it.
  using DecisionCallback = std::function<void(const RateDecision& decision)>;
  uint64_t acquire(const forwarding::Server& server, DecisionCallback on_decision);
  void cancel(uint64_t number) { exchange_.cancel(number); }
  // The request was not sent there after all.
  void refund(const RateGrant& grant) { exchange_.refund(grant.name, grant.cost, grant.owner); }

 private:
  Core& core_;
  QuotaExchange exchange_;
};

}  // namespace quincewick::gateway
