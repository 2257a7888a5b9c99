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
  NodeId keeper;
};

struct RateAnswer {
  bool is_granted = false;
  absl::Duration retry_after;  // where it was denied
  RateGrant grant;
};

class ServerRates {
 public:
  ServerRates(Core& core, PeerDirectory& directory, PeerExchange& peers);

  void start() { exchange_.start(); }

  // May a request be sent to this server now? Calls `answered` once, perhaps before this returns. Returns the
  // number by which to `forget` it.
  using Answered = std::function<void(const RateAnswer& answer)>;
  uint64_t ask(const forwarding::Server& server, Answered answered);
  void forget(uint64_t number) { exchange_.forget(number); }
  // The request was not sent there after all.
  void giveBack(const RateGrant& grant) { exchange_.giveBack(grant.name, grant.cost, grant.keeper); }

 private:
  Core& core_;
  QuotaExchange exchange_;
};

}  // namespace quincewick::gateway
