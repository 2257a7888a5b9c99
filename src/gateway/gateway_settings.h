// The settings of one gateway process, from a file that is read at its start and again when it changes.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/diagnostics.h"
#include "forwarding/engine_placement.h"
#include "types/back_end.h"
#include "types/identifiers.h"

namespace quincewick::gateway {

struct GatewayListenSettings {
  Address callers;
  Address readiness;
  std::optional<Address> peers;    // UDP, between the gateways of a site
  std::optional<Address> metrics;  // Prometheus' text

  friend bool operator==(const GatewayListenSettings&, const GatewayListenSettings&) = default;
};

// What the site promises, by which the gateway sets its own pace.
struct GatewayBounds {
  absl::Duration key_revocation =
      absl::Seconds(5);  // after it no request runs under a key that was taken away
  absl::Duration configuration_in_force =
      absl::Seconds(5);                            // within it an acknowledged configuration is in force
  absl::Duration server_drain = absl::Seconds(2);  // after it nothing new is sent to a server that leaves
  absl::Duration stop_grace = absl::Seconds(8);    // from the signal to stop until the process is killed
  absl::Duration order_lease = absl::Seconds(3);
  absl::Duration weights_in_force = absl::Seconds(8);  // a named version is on all engines
  double retry_ratio = 0.2;                            // repeats for each request
  double retry_constant = 54;                      // repeats of all gateways together, whatever the requests
  absl::Duration limit_window = absl::Seconds(8);  // within it, tenants' limits are passed by no more than:
  double limit_overshoot = 0.1;                    // this part of what a limit allows,
  double limit_slack = 0;                          // and so much, in the limit's unit

  friend bool operator==(const GatewayBounds&, const GatewayBounds&) = default;
};

struct GatewaySettings {
  NodeId gateway_id;  // unique in the site; kept over restarts
  ZoneName zone;
  RegionName region;
  GatewayListenSettings listen;
  Address store;
  GatewayBounds bounds;
  forwarding::PlacementSwitches placement;  // all on, but to measure what each is worth
  uint32_t gateways_assumed =
      16;  // the site is taken to have at least so many: divides what is constant for all
  uint32_t connections_at_most = 3000;
  bool site_is_new = false;  // all gateways start for the first time: none has a row in the store yet
  // Of a service's requests, at most, that go to a new version of its servers before it was found good; 0:
  // versions of servers don't matter.
  double rollout_share = 0;
  double capacity = 0;  // of its machine, in any unit: in each zone the greatest reads the store first

  friend bool operator==(const GatewaySettings&, const GatewaySettings&) = default;
};

// Reads a settings file's text. All faults are listed.
configuration::Parsed<GatewaySettings> parseGatewaySettings(const std::string& text);

// Whether a file's text is meant as a gateway's settings: it names a gateway at its top level.
bool looksLikeGatewaySettings(const std::string& text);

}  // namespace quincewick::gateway
