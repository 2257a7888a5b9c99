// The protocol's periods and bounds. The defaults are the measured ones of docs/design/membership.md.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quincewick::membership {

struct MembershipSettings {
  // The protocol asks to be woken at this period; all others are rounded up to it.
  absl::Duration tick_period = absl::Milliseconds(200);
  // Each node probes one member of its zone in this period.
  absl::Duration probe_period = absl::Seconds(1);
  // Without an answer after this, others are asked to probe too.
  absl::Duration direct_probe_timeout = absl::Milliseconds(300);
  // Without any answer after this, the member is suspected.
  absl::Duration probe_timeout = absl::Milliseconds(800);
  // Members that are asked to probe on this node's behalf.
  uint32_t indirect_probes = 3;
  // A suspect has factor * log10(zone size + 1), at least the factor itself, to refute.
  absl::Duration suspicion_factor = absl::Milliseconds(1500);
  // Members of the zone that get news at each tick while there is any.
  uint32_t gossip_fanout = 3;
  // Each piece of news is sent factor * ceil(log2(zone size + 1)) times by each node.
  uint32_t retransmission_factor = 3;
  // Nodes of each zone that talk to other zones.
  uint32_t delegates = 2;
  // A delegate greets every other zone once in this period.
  absl::Duration exchange_period = absl::Seconds(2);
  // A zone that was not heard of for this long counts as unreachable.
  absl::Duration zone_timeout = absl::Seconds(8);
  // A node starts to compare its view with a peer's at most once in this period.
  absl::Duration sync_period = absl::Seconds(1);
  // A view that differs from the peers' in the zone for less than this is left to the news on its way.
  absl::Duration sync_patience = absl::Seconds(3);
  // A failed member of the zone is called at this period, in case it was cut off and is back.
  absl::Duration reconnect_period = absl::Seconds(2);
  // The payload is sent to the zone at most this often ...
  absl::Duration payload_period = absl::Seconds(2);
  // ... and again after this when it did not change, for those who missed it.
  absl::Duration payload_refresh_period = absl::Seconds(10);
  // Delegates read the platform's list at this period, other nodes only at start and when alone.
  absl::Duration list_period = absl::Seconds(60);
  // The first wait after an unanswered read of the list; doubled up to list_period, with jitter.
  absl::Duration list_retry_period = absl::Seconds(1);
  // A listed node that nobody has heard of is forgotten after this, unless it is listed again.
  absl::Duration listed_lifetime = absl::Minutes(2);
  // Failed and left members are remembered for this long, so that old news can't revive them.
  absl::Duration tombstone_lifetime = absl::Hours(1);
  // Members of an unreachable zone that the list has dropped are declared failed after this.
  absl::Duration lost_zone_lifetime = absl::Minutes(10);
  // A gap between two events above this means that this process itself was paused.
  absl::Duration pause_threshold = absl::Milliseconds(1500);
  // Members kept at most; further ones are ignored.
  uint32_t maximum_members = 4096;
};

}  // namespace quincewick::membership
