// Another gateway of the site, as its row and its digests tell of it.
#pragma once

#include <absl/time/time.h>

#include "gateway/peer_updates.h"
#include "types/back_end.h"
#include "types/identifiers.h"

namespace quincewick::gateway {

struct Peer {
  Address address;  // UDP for digests, TCP for row requests
  ZoneName zone;    // empty: unknown yet
  absl::Time last_received = absl::InfinitePast();
  double capacity = 0;          // of its machine
  bool is_zone_reader = false;  // it reads the store for its zone, and its rows are fresh
  UpdateCursor sent;
};

}  // namespace quincewick::gateway
