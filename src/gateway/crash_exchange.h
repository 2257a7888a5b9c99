// Shares with peers which requests crash servers: records crashes seen here, reports them, merges peers'
// reports, and decides whether a request may be sent (docs/design/crashing_requests.md).
#pragma once

#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <string_view>
#include <vector>

#include "forwarding/crash_register.h"
#include "gateway/broadcast_budget.h"
#include "gateway/core.h"
#include "gateway/crash_message.h"
#include "gateway/peer_exchange.h"
#include "gateway/quarantine_record.h"
#include "reactor/wakeup_timer.h"

namespace quincewick::gateway {

class CrashExchange {
 public:
  static constexpr const char* kTable = "gateway-crashes";

  CrashExchange(Core& core, PeerExchange& peers);

  // `reads_store`: whether this gateway is its zone's reader now.
  void start(std::function<bool()> reads_store);

  // A server crashed while it ran these requests of this gateway.
  void onServerCrash(forwarding::ServerCrash end);
  // A request got a complete response here.
  void noteServed(const forwarding::RequestIdentity& identity);
  // An attempt starts, and ends.
  void noteSent(const forwarding::RequestIdentity& identity);
  void noteOver(const forwarding::RequestIdentity& identity) { register_.noteOver(identity); }
  // Whether the request may be sent now. A quarantined request that is sent all the same is on trial.
  forwarding::CrashVerdict verdictOn(const forwarding::RequestIdentity& identity);
  bool isSuspect(const forwarding::RequestIdentity& identity) const { return register_.isSuspect(identity); }
  size_t quarantinedCount() const { return register_.quarantinedCount(); }
  size_t suspectCount() const { return register_.suspectCount(); }

 private:
  struct PendingReport {
    forwarding::ServerCrash end;
    absl::Time seen;
    absl::Time due;
    int rounds = 1;  // remaining rounds of sending
  };

  Result<void> receive(const NodeId& from, std::string_view payload);
  void handleCrash(const forwarding::ServerCrash& end, bool is_own);
  void settle(bool writes_record);
  void handleCleared(const forwarding::RequestIdentity& identity, bool is_own);
  void handleQuarantined(const forwarding::QuarantinedRequest& quarantined);
  void logQuarantine(const forwarding::RequestIdentity& identity, std::string_view by);
  // Whether a suspect was served here: if so, queues an objection for the peers.
  bool objectIfServed(const forwarding::RequestIdentity& identity);
  void queueReport(const forwarding::ServerCrash& end);
  void sendReports();
  // The reports that are due now, as many as fit into a datagram.
  CrashMessage takeDueReports(absl::Time now);
  void broadcast(const CrashMessage& message);
  void heartbeat();
  void reportToRandomPeers();
  void readRecordOnce();

  Core& core_;
  PeerExchange& peers_;
  QuarantineRecord record_;
  forwarding::CrashRegister register_;
  std::function<bool()> reads_store_ = [] { return false; };
  bool was_reading_ = false;
  std::deque<PendingReport> pending_reports_;
  absl::btree_set<forwarding::RequestIdentity> cleared_to_report_;
  BroadcastBudget budget_;
  reactor::WakeupTimer timer_;
};

}  // namespace quincewick::gateway
