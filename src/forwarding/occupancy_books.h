// What is in hand at the engines whose books this gateway keeps: every request that any gateway sends there
// is reserved here first, and taken out when it ends. Pure; `now` never goes back.
//
// What gateways tell each other in turns is up to a second old, and within a second they all would send to
// the engine that looked emptiest. A reservation is exact. It lapses by itself, for its gateway may die.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <utility>

#include "forwarding/server_directory.h"

namespace quincewick::forwarding {

class OccupancyBooks {
 public:
  // A gateway's request at an engine, by the gateway's own number.
  struct Name {
    uint64_t engine = 0;  // its identity hash
    NodeId gateway;
    uint64_t number = 0;
  };

  // What is in hand at the engine.
  ServerLoad at(uint64_t engine, absl::Time now);
  // Whether they have been kept for as long as nearly all requests take.
  bool areComplete(uint64_t engine, absl::Time now) const;
  // The request is sent there; its prompt's tokens are still to be read.
  void reserve(const Name& name, uint64_t prefill_tokens, absl::Time now);
  // Its first piece came: it was read.
  void noteRead(const Name& name);
  void release(const Name& name);

 private:
  struct Reservation {
    uint64_t prefill_tokens = 0;
    absl::Time lapses;
  };
  struct Engine {
    absl::btree_map<std::pair<NodeId, uint64_t>, Reservation> reservations;
    ServerLoad sum;
    absl::Time begun;
    absl::Time looked_through = absl::InfinitePast();
  };

  static void dropLapsed(Engine& engine, absl::Time now);

  absl::flat_hash_map<uint64_t, Engine> engines_;
};

}  // namespace quincewick::forwarding
