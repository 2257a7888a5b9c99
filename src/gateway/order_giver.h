// Brings engines to newly named weights: takes the lease when it is this gateway's turn, gives orders, and
// follows each until the engine serves the new version.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <memory>
#include <string>
#include <vector>

#include "forwarding/rollout_planner.h"
#include "gateway/core.h"
#include "gateway/lease_keeper.h"
#include "gateway/peer_exchange.h"
#include "reactor/http_client.h"

namespace quincewick::gateway {

class OrderGiver {
 public:
  OrderGiver(Core& core, PeerExchange& peers);

  void start() { tick(); }
  bool holdsLease(absl::Time now) const { return lease_.holds(now); }
  // Whether orders are still to be given by this gateway, so that a planned stop waits for them.
  bool isCarryingOut(absl::Time now) const { return lease_.holds(now) && is_due_; }

 private:
  // One engine's order, from its first question to the engine's new version.
  struct Load {
    forwarding::ServerDirectory::ServerPointer server;
    ModelName model;
    WeightsVersion target;
    absl::Time began;
    absl::Time ordered = absl::InfinitePast();  // the last order that may have been accepted
    Epoch fence;                                // of the last order
    std::unique_ptr<reactor::HttpClient> caller;
    uint32_t failures = 0;
  };

  void tick();
  void carryOut(const ModelName& model, const forwarding::RolloutPlan& plan, absl::Time now);
  std::vector<forwarding::RolloutEngine> enginesOf(const ModelName& model, absl::Time now) const;
  absl::Duration turnDelay(absl::Time now) const;

  void begin(const std::string& server_id, const ModelName& model, absl::Time now);
  void close(const forwarding::ServerDirectory::ServerPointer& server, const ModelName& model,
             absl::Duration closed_for);
  // What the engine says of itself in an answer to a call.
  void noteReply(const Load& load, const Result<reactor::HttpResponse>& reply);
  void askReport(const std::string& server_id);
  void takeReport(const std::string& server_id, const Result<reactor::HttpResponse>& reply);
  // Whether the report is of the life that the load is for; if it is of a later one, the directory learns of
  // it.
  bool isOfThisLife(const Load& load, const forwarding::EngineReport& report);
  void giveOrder(const std::string& server_id, uint64_t orders_taken);
  void takeOrderAnswer(const std::string& server_id, const Result<reactor::HttpResponse>& reply);
  void askAgain(const std::string& server_id, absl::Duration after);
  void finish(const std::string& server_id, bool is_done);

  Core& core_;
  PeerExchange& peers_;
  LeaseKeeper lease_;
  bool is_due_ = false;  // some engine must be given an order now or soon
  forwarding::LoadTime load_time_;
  absl::flat_hash_map<std::string, Load> loads_;        // by server id
  absl::flat_hash_map<uint64_t, absl::Time> reserved_;  // since when, by the server's identity hash
};

}  // namespace quincewick::gateway
