// Requests in flight at the engines whose occupancy this gateway owns. Every request that any gateway sends
// to such an engine is reserved here first and released when it ends. Does no I/O; `now` never goes back.
//
// The owner sees each request's start, first piece and end, and estimates the engine's capability from them.
//
// Loads that gateways report to each other are up to a second old, and within a second all gateways would
// send to the engine that looked least loaded. Reservations are exact. They expire, since their gateway may
// crash.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <utility>

#include "forwarding/engine_capability.h"
#include "forwarding/server_directory.h"

namespace quincewick::forwarding {

class OccupancyTracker {
 public:
  // A gateway's request at an engine; the gateway assigns `number`.
  struct ReservationId {
    uint64_t engine = 0;  // its identity hash
    NodeId gateway;
    uint64_t number = 0;
  };

  // Starts to track the engine with the capability that another gateway reported. No effect on an engine that
  // is tracked already.
  void begin(uint64_t engine, const EngineCapability& initial, absl::Time now);
  // The load in flight at the engine.
  ServerLoad at(uint64_t engine, absl::Time now);
  // Whether the engine has been tracked for longer than nearly all requests take, so that requests sent
  // before are over.
  bool isFullyObserved(uint64_t engine, absl::Time now) const;
  // The request is sent to the engine; `prefill_tokens` are still to be prefilled. `waits_for_slot`: all
  // slots are taken, so the time until its first piece does not measure the engine's speed.
  void reserve(const ReservationId& id, uint64_t prefill_tokens, bool waits_for_slot, absl::Time now);
  // Its first piece came, so its prefill is done.
  void notePrefillDone(const ReservationId& id, absl::Time now);
  // It ended. `longest_pause`: between its pieces; zero if there was none.
  void release(const ReservationId& id, absl::Duration longest_pause, absl::Time now);
  // The engine's capability, estimated from finished prefills and requests.
  EngineCapability capability(uint64_t engine, absl::Time now) const;
  // The given capability, slowed down by prefills that are overdue now. Valid only for a reservation at
  // `now`.
  EngineCapability withOverdue(uint64_t engine, EngineCapability capability, absl::Time now) const;

 private:
  struct Reservation {
    uint64_t prefill_tokens = 0;
    uint64_t tokens_ahead = 0;  // still to be prefilled at the engine when it was reserved, including its own
    bool measures_speed = false;
    absl::Time reserved_at;
    absl::Time expires_at;
  };
  struct Engine {
    absl::btree_map<std::pair<NodeId, uint64_t>, Reservation> reservations;
    ServerLoad sum;
    CapabilityEstimator capability;
    // When the latest reservation whose prefill is done was made.
    absl::Time last_prefill_reserved_at = absl::InfinitePast();
    absl::Time tracked_since;
    absl::Time last_expiry_check = absl::InfinitePast();
  };

  static void dropExpired(Engine& engine, absl::Time now);

  absl::flat_hash_map<uint64_t, Engine> engines_;
};

}  // namespace quincewick::forwarding
