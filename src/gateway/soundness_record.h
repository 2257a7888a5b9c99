// Keeps in the store which services were sound lately, as far as all gateways know, and which became brittle:
// gateways that all start again read it instead of waiting until one request has found it out
// (docs/design/brittle_servers.md).
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "forwarding/brittleness.h"
#include "gateway/core.h"
#include "gateway/peer_exchange.h"
#include "gateway/store_client.h"

namespace quincewick::gateway {

class SoundnessRecord {
 public:
  static constexpr const char* kTable = "gateway-soundness";

  SoundnessRecord(Core& core, PeerExchange& peers, forwarding::BrittlenessRegister& known)
      : core_(core), peers_(peers), store_(core), known_(known) {}

  // Reads the record, unless the site is new.
  void start();
  // Called several times a second.
  void onHeartbeat(absl::Time now);
  // A server said that it is brittle.
  void noteBrittle(const forwarding::ServiceName& service, absl::Time now);

 private:
  void read();
  void applyRows(const forwarding::StoreRows& rows, absl::Time now);
  void writeSound(absl::Time now);
  void writeBrittle(const forwarding::ServiceName& service, absl::Time now);

  Core& core_;
  PeerExchange& peers_;
  StoreClient store_;
  forwarding::BrittlenessRegister& known_;
  absl::Time started_ = absl::InfiniteFuture();
  bool is_reading_ = false;
  bool is_read_ = false;
  absl::Time next_write_ = absl::InfinitePast();
  // When servers of the service last said that they are brittle, and whether the store has it.
  struct Brittle {
    absl::Time heard = absl::InfinitePast();
    bool is_stored = false;
    bool is_writing = false;
  };
  absl::flat_hash_map<forwarding::ServiceName, Brittle> brittle_;
};

}  // namespace quincewick::gateway
