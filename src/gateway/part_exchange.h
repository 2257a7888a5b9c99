// Shares with peers which prompt parts crash servers: records crashes seen here, reports them, asks for and
// sends objections, and decides whether a request may be sent (docs/design/crashing_parts.md).
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <string_view>
#include <vector>

#include "forwarding/part_quarantine.h"
#include "gateway/broadcast_budget.h"
#include "gateway/core.h"
#include "gateway/part_message.h"
#include "gateway/peer_exchange.h"
#include "gateway/quarantine_record.h"
#include "reactor/wakeup_timer.h"

namespace quincewick::gateway {

class PartExchange {
 public:
  static constexpr const char* kTable = "gateway-crash-parts";

  PartExchange(Core& core, PeerExchange& peers);

  // `reads_store`: whether this gateway is its zone's reader now.
  void start(std::function<bool()> reads_store);

  // A server crashed while it ran these requests of this gateway.
  void onServerCrash(const forwarding::PartCrash& crash);
  // A request with these parts was served completely here. `service`: the hash of the service's name.
  void noteServed(uint64_t service, const std::vector<forwarding::PartKey>& parts);
  void noteSent(const forwarding::PartCarrier& carrier) { quarantine_.noteSent(carrier); }
  // Whether requests with each of the parts were served here within the last second.
  bool wereServedLately(const std::vector<forwarding::PartKey>& parts) const;
  bool isSuspect(const forwarding::PartCarrier& carrier) const { return quarantine_.isSuspect(carrier); }
  // Whether the request is rejected now.
  bool isRejected(const forwarding::PartCarrier& carrier) const;
  // Whether the request may be sent now. A request with quarantined parts that is sent all the same is a
  // trial.
  forwarding::CrashVerdict verdictOn(const forwarding::PartCarrier& carrier);
  size_t quarantinedCount() const { return quarantine_.quarantinedCount(); }
  size_t suspectCount() const { return quarantine_.suspectCount(); }

 private:
  // A message that is to be sent to all peers. Its ages are those at `since`.
  struct Outgoing {
    PartMessage message;
    absl::Time since;
    absl::Time due;
    int rounds = 1;  // remaining rounds of sending
  };

  bool mayTakeTrial(const forwarding::PartCarrier& carrier, absl::Time now) const;
  Result<void> receive(const NodeId& from, std::string_view payload);
  void handleCrash(const forwarding::PartCrash& crash, bool is_own);
  void handleServed(const forwarding::ServedPart& served);
  void handleQuarantined(const forwarding::QuarantinedParts& quarantined);
  void accuse(const std::vector<forwarding::AccusedParts>& accused);
  void scheduleSettle();
  void settle();
  void log(std::string_view event, const std::vector<forwarding::PartKey>& parts, std::string_view by);
  void queue(PartMessage message, int rounds);
  void sendDue();
  // Removes the rounds that are due and returns them in as few datagrams as hold them.
  std::vector<PartMessage> takeDue(absl::Time now);
  void heartbeat();
  PartMessage stateForPeers(absl::Time now) const;
  void readRecordOnce();

  Core& core_;
  PeerExchange& peers_;
  QuarantineRecord record_;
  forwarding::PartQuarantine quarantine_;
  std::function<bool()> reads_store_ = [] { return false; };
  bool was_reading_ = false;
  std::deque<Outgoing> outgoing_;
  BroadcastBudget budget_;
  reactor::WakeupTimer timer_;
};

}  // namespace quincewick::gateway
