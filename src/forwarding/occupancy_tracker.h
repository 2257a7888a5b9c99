// What is in hand at the engines whose books this gateway keeps: every request that any gateway sends there
// is reserved here first, and taken out when it ends. Pure; `now` never goes back.
//
// Who keeps the books sees each request's beginning, first piece and end, and so learns what the engine can
// do.
//
// What gateways tell each other in turns is up to a second old, and within a second they all would send to
// the engine that looked emptiest. A reservation is exact. It lapses by itself, for its gateway may die.
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
  // A gateway's request at an engine, by the gateway's own number.
  struct ReservationId {
    uint64_t engine = 0;  // its identity hash
    NodeId gateway;
    uint64_t number = 0;
  };

  // Begins the books with what another gateway told of the engine; nothing where they are kept already.
  void begin(uint64_t engine, const EngineCapability& told, absl::Time now);
  // What is in hand at the engine.
  ServerLoad at(uint64_t engine, absl::Time now);
  // Whether they have been kept for as long as nearly all requests take.
  bool isFullyObserved(uint64_t engine, absl::Time now) const;
  // The request is sent there; its prompt's tokens are still to be read. `waits_for_slot`: the engine's are
  // all taken, so the time until it is read says nothing of the engine's speed.
  void reserve(const ReservationId& name, uint64_t prefill_tokens, bool waits_for_slot, absl::Time now);
  // Its first piece came: it was read.
  void notePrefillDone(const ReservationId& name, absl::Time now);
  // It ended. `longest_pause`: between its pieces; zero where it had none.
  void release(const ReservationId& name, absl::Duration longest_pause, absl::Time now);
  // What the engine can do, from what was read and ended.
  EngineCapability capability(uint64_t engine, absl::Time now) const;
  // The same with what is overdue just now: for a place that is asked for now, and nothing later.
  EngineCapability withOverdue(uint64_t engine, EngineCapability capability, absl::Time now) const;

 private:
  struct Reservation {
    uint64_t prefill_tokens = 0;
    uint64_t tokens_ahead = 0;  // in hand when it began, its own among them
    bool tells_speed = false;
    absl::Time begun;
    absl::Time lapses;
  };
  struct Engine {
    absl::btree_map<std::pair<NodeId, uint64_t>, Reservation> reservations;
    ServerLoad sum;
    CapabilityEstimator capability;
    absl::Time last_read_begun = absl::InfinitePast();  // when the latest one that is read had begun
    absl::Time begun;
    absl::Time looked_through = absl::InfinitePast();
  };

  static void dropLapsed(Engine& engine, absl::Time now);

  absl::flat_hash_map<uint64_t, Engine> engines_;
};

}  // namespace quincewick::forwarding
