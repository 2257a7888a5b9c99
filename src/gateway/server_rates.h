// Rate limits that servers report for all gateways together: a request may be sent to such a server once the
// owner of the limit has granted it.
#pragma once

#include <cstdint>

#include "gateway/quota_exchange.h"

namespace quincewick::gateway {

// A request's share of a server's rate limit.
struct RateGrant {
  quota::LimitName name;
  double cost = 0;
  NodeId owner;
};

struct RateDecision {
  bool is_granted = false;
  absl::Duration retry_after;  // if denied
  RateGrant grant;
};

class ServerRates {
 public:
  ServerRates(Core& core, PeerDirectory& directory, PeerExchange& peers);

  void start() { exchange_.start(); }

  // Requests leave to send a request to this server now. Calls `on_decision` once, perhaps before this
  // returns. Returns the request number to pass to `cancel`.
  using DecisionCallback = std::function<void(const RateDecision& decision)>;
  uint64_t acquire(const forwarding::Server& server, DecisionCallback on_decision);
  void cancel(uint64_t number) { exchange_.cancel(number); }
  // Returns a grant whose request was not sent.
  void refund(const RateGrant& grant) { exchange_.refund(grant.name, grant.cost, grant.owner); }

 private:
  Core& core_;
  QuotaExchange exchange_;
};

}  // namespace quincewick::gateway
