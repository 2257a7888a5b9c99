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
#include "gateway/lease_client.h"
#include "gateway/peer_exchange.h"
#include "reactor/http_caller.h"

namespace quincewick::gateway {

class WeightLoader {
 public:
  WeightLoader(Core& core, PeerExchange& peers);

  void start() { tick(); }
  bool holdsLease(absl::Time now) const { return lease_.holds(now); }
  // Whether orders are still to be given by this gateway, so that a planned stop waits for them.
  bool hasPendingOrders(absl::Time now) const { return lease_.holds(now) && is_work_due_; }

 private:
  // One engine's order, from its first question to the engine's new version.
  struct Load {
    forwarding::ServerDirectory::ServerPointer server;
    ModelName model;
    WeightsVersion target;
    absl::Time started_at;
    absl::Time last_order_at = absl::InfinitePast();  // the last order that may have been accepted
    Epoch fence;                                      // of the last order
    std::unique_ptr<reactor::HttpCaller> caller;
    uint32_t failures = 0;
  };

  void tick();
  void executePlan(const ModelName& model, const forwarding::RolloutPlan& plan, absl::Time now);
  std::vector<forwarding::RolloutEngine> rolloutEngines(const ModelName& model, absl::Time now) const;
  absl::Duration leaseTurnDelay(absl::Time now) const;

  void beginLoad(const std::string& server_id, const ModelName& model, absl::Time now);
  void blockRequests(const forwarding::ServerDirectory::ServerPointer& server, const ModelName& model,
                     absl::Duration block_duration);
  // What the engine says of itself in an answer to a call.
  void noteReply(const Load& load, const Result<reactor::HttpReply>& reply);
  void requestReport(const std::string& server_id);
  void handleReport(const std::string& server_id, const Result<reactor::HttpReply>& reply);
  // Whether the report is of the life that the load is for; if it is of a later one, the directory learns of
  // it.
  bool isSameIncarnation(const Load& load, const forwarding::EngineReport& report);
  void sendOrder(const std::string& server_id, uint64_t orders_taken);
  void handleOrderResponse(const std::string& server_id, const Result<reactor::HttpReply>& reply);
  void requestReportLater(const std::string& server_id, absl::Duration after);
  void finishLoad(const std::string& server_id, bool is_done);

  Core& core_;
  PeerExchange& peers_;
  LeaseClient lease_;
  bool is_work_due_ = false;  // some engine must be given an order now or soon
  forwarding::LoadTime load_time_;
  absl::flat_hash_map<std::string, Load> loads_;        // by server id
  absl::flat_hash_map<uint64_t, absl::Time> reserved_;  // since when, by the server's identity hash
};

}  // namespace quincewick::gateway
