// Loads newly published weights into engines: acquires the order lease when it is this gateway's turn, sends
// weight-loading orders, and polls each engine until it serves the new version.
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
#include "reactor/http_client.h"

namespace quincewick::gateway {

class WeightLoader {
 public:
  WeightLoader(Core& core, PeerExchange& peers);

  void start() { tick(); }
  bool holdsLease(absl::Time now) const { return lease_.holds(now); }
  // Whether this gateway still has orders to send or to complete, so that a planned stop waits for them.
  bool hasPendingOrders(absl::Time now) const { return lease_.holds(now) && is_work_due_; }

 private:
  // One engine's load, from the first report request until the engine serves the new version.
  struct Load {
    forwarding::ServerDirectory::ServerPointer server;
    ModelName model;
    WeightsVersion target;
    absl::Time started_at;
    absl::Time last_order_at =
        absl::InfinitePast();  // when the last order that may have been accepted was sent
    Epoch fence;               // of the last order
    std::unique_ptr<reactor::HttpClient> caller;
    uint32_t failures = 0;
    bool is_busy = false;  // by its last report
  };

  void tick();
  void executePlan(const ModelName& model, const forwarding::RolloutPlan& plan, absl::Time now);
  std::vector<forwarding::RolloutEngine> rolloutEngines(const ModelName& model, absl::Time now);
  // Logs that the engine can't be ordered now.
  void notePostponed(const forwarding::Server& server, absl::Time now);
  absl::Duration leaseTurnDelay(absl::Time now) const;

  void beginLoad(const std::string& server_id, const ModelName& model, absl::Time now);
  void blockRequests(const forwarding::ServerDirectory::ServerPointer& server, const ModelName& model,
                     absl::Duration block_duration);
  void renewBlock(const Load& load, absl::Time now);
  // Records the back pressure that the engine signals in its reply.
  void applyBackPressure(const Load& load, const Result<reactor::HttpResponse>& reply);
  void requestReport(const std::string& server_id);
  void handleReport(const std::string& server_id, const Result<reactor::HttpResponse>& reply);
  // Whether the report is from the incarnation that the load is for. A later incarnation is recorded in the
  // server directory.
  bool isSameIncarnation(const Load& load, const forwarding::EngineReport& report);
  void sendOrder(const std::string& server_id, uint64_t orders_taken);
  absl::Duration dueIn(const Load& load, absl::Time now) const;
  void handleOrderResponse(const std::string& server_id, const Result<reactor::HttpResponse>& reply);
  void requestReportLater(const std::string& server_id, absl::Duration after);
  void finishLoad(const std::string& server_id, bool is_done);

  Core& core_;
  PeerExchange& peers_;
  LeaseClient lease_;
  bool is_work_due_ = false;  // some engine needs an order now or soon
  forwarding::LoadTime load_time_;
  absl::flat_hash_map<std::string, Load> loads_;        // by server id
  absl::flat_hash_map<uint64_t, absl::Time> reserved_;  // reservation times by the server's identity hash
  // By the server's identity hash, until when its load was last logged to be postponed.
  absl::flat_hash_map<uint64_t, absl::Time> postponed_;
};

}  // namespace quincewick::gateway
