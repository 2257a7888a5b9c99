// The modelled network between zones: delays, jitter, loss, duplication and cuts.
#pragma once

#include <absl/container/inlined_vector.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <vector>

#include "simulation/topology.h"

namespace quincewick::simulation {

// One-way delays; `jitter` is the greatest extra delay, drawn evenly. Loss and duplication hold for
// datagrams.
struct NetworkOptions {
  absl::Duration within_zone = absl::Microseconds(250);
  absl::Duration between_zones = absl::Microseconds(1200);
  absl::Duration between_regions = absl::Milliseconds(30);
  absl::Duration jitter = absl::Microseconds(300);
  double loss = 0.001;
  double duplication = 0.0005;
};

class NetworkModel {
 public:
  // `zone_regions` holds the region of each zone.
  NetworkModel(NetworkOptions options, std::vector<RegionIndex> zone_regions);

  // The delays after which copies of a datagram arrive: none when it is lost or the way is cut.
  absl::InlinedVector<absl::Duration, 2> datagramDelays(ZoneIndex from, ZoneIndex to,
                                                        absl::BitGenRef random) const;

  // The one-way delay of bytes on a connection, which neither loses nor duplicates.
  absl::Duration connectionDelay(ZoneIndex from, ZoneIndex to, absl::BitGenRef random) const;

  // Whether anything passes from one zone to the other now.
  bool reachable(ZoneIndex from, ZoneIndex to) const;

  // Whether the zone is cut off, by itself or with its region. The platform can't be reached from there.
  bool isolated(ZoneIndex zone) const {
    return zone_cuts_[zone] > 0 || region_cuts_[zone_regions_[zone]] > 0;
  }

  // Cuts add up: a zone or region is joined again when each of its cuts has been healed.
  void cutZone(ZoneIndex zone) { ++zone_cuts_[zone]; }
  void healZone(ZoneIndex zone) { --zone_cuts_[zone]; }
  void cutRegion(RegionIndex region) { ++region_cuts_[region]; }
  void healRegion(RegionIndex region) { --region_cuts_[region]; }

 private:
  absl::Duration baseDelay(ZoneIndex from, ZoneIndex to) const;

  NetworkOptions options_;
  std::vector<RegionIndex> zone_regions_;
  std::vector<int> zone_cuts_;
  std::vector<int> region_cuts_;
};

}  // namespace quincewick::simulation
