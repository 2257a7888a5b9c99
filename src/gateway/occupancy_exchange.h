// Reserves slots at engines with the gateways that own the engines' occupancy, and serves reservations for
// the engines whose occupancy this gateway owns.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "forwarding/occupancy_tracker.h"
#include "gateway/core.h"
#include "gateway/occupancy_messages.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "routing/keeper_ranks.h"

namespace quincewick::gateway {

// A request's entry in an engine's occupancy.
struct Reservation {
  uint64_t engine = 0;
  uint64_t number = 0;
  NodeId owner;
};

struct ReservationResponse {
  bool is_reserved = false;
  std::optional<forwarding::ServerLoad> load;  // before this request; empty: no response from the owner
  forwarding::EngineCapability capability;     // of the engine; valid if `load` is set
  Reservation reservation;                     // valid if `is_reserved`
};

class OccupancyExchange {
 public:
  OccupancyExchange(Core& core, PeerDirectory& directory, PeerExchange& peers);

  void start();

  // Requests a slot at an engine, granted if at most `max_load_seconds` of work is in progress there. Calls
  // `on_response` once, perhaps before this returns. Returns the request number to pass to `cancel`.
  using ResponseCallback = std::function<void(const ReservationResponse& response)>;
  uint64_t reserve(const forwarding::Server& engine, uint64_t prefill_tokens, double max_load_seconds,
                   ResponseCallback on_response);
  // Drops the callback; a slot that is granted later is released.
  void cancel(uint64_t number) { pending_requests_.erase(number); }
  void notePrefillDone(const Reservation& reservation);
  // `longest_pause`: longest gap between the request's pieces; zero if unknown.
  void release(const Reservation& reservation, absl::Duration longest_pause = absl::ZeroDuration());

 private:
  struct PendingRequest {
    NodeId owner;
    absl::Time deadline;
    ResponseCallback on_response;
  };

  void probe(const std::vector<NodeId>& nodes, OccupancyMessage request);
  static ReservationResponse responseOf(const NodeId& owner, const OccupancyMessage& message);
  OccupancyMessage handleReserve(const NodeId& from, const OccupancyMessage& request);
  Result<void> receive(const NodeId& from, std::string_view payload);
  void handleResponse(const NodeId& from, const OccupancyMessage& response);
  void sendUpdate(const Reservation& reservation, OccupancyMessageKind kind, absl::Duration longest_pause);
  void reportCapability(uint64_t engine, const forwarding::EngineCapability& capability, absl::Time now);
  void handleMessage(const NodeId& from, const OccupancyMessage& message);
  void send(const NodeId& to, const OccupancyMessage& message);
  void heartbeat();
  void scheduleExpiry();
  void expirePending();

  Core& core_;
  PeerDirectory& directory_;
  PeerExchange& peers_;
  routing::KeeperRanks ranks_;
  forwarding::OccupancyTracker occupancy_;
  absl::btree_map<uint64_t, PendingRequest> pending_requests_;  // by number, and so by deadline
  absl::btree_map<NodeId, absl::Time> probed_;
  absl::flat_hash_map<uint64_t, forwarding::ReportedCapability> reported_;  // last report to peers, by engine
  uint64_t last_number_ = 0;
  bool has_timer_ = false;
};

}  // namespace quincewick::gateway
