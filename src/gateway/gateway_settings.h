// Settings of a gateway process, read from a file at the start and on reload.
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
  std::optional<Address> peers;    // between the gateways of a site: UDP, and TCP for the row relay
  std::optional<Address> metrics;  // Prometheus' text format
  // TCP: takes requests of gateways that can't reach their servers. Unset: takes none.
  std::optional<Address> delegation;

  friend bool operator==(const GatewayListenSettings&, const GatewayListenSettings&) = default;
};

// The site's guarantees, from which the gateway derives its own time limits.
struct GatewayBounds {
  absl::Duration key_revocation = absl::Seconds(5);  // no request is sent under a key revoked longer ago
  // Longest time from the store's acknowledgement of a configuration until it applies to new requests.
  absl::Duration configuration_in_force = absl::Seconds(5);
  // Longest time from the announcement that a server leaves until no new request is sent to it.
  absl::Duration server_drain = absl::Seconds(2);
  absl::Duration stop_grace = absl::Seconds(8);  // from SIGTERM until the process is killed
  absl::Duration order_lease = absl::Seconds(3);
  absl::Duration weights_in_force = absl::Seconds(8);  // within it a requested version is on all engines
  double retry_ratio = 0.2;                            // retries per request
  double retry_constant = 54;                          // further retries, shared by all gateways
  absl::Duration limit_window = absl::Seconds(8);      // over it, tenants' limits are exceeded by at most:
  double limit_overshoot = 0.1;                        // this fraction of what a limit allows,
  double limit_slack = 0;                              // plus this amount, in the limit's unit

  friend bool operator==(const GatewayBounds&, const GatewayBounds&) = default;
};

struct GatewaySettings {
  NodeId gateway_id;  // unique in the site; stable across restarts
  ZoneName zone;
  RegionName region;
  GatewayListenSettings listen;
  Address store;
  GatewayBounds bounds;
  forwarding::PlacementSwitches placement;  // all on; switched off only to measure their effect
  uint32_t gateways_assumed = 16;           // least number of gateways assumed: divides site-wide constants
  uint32_t connections_at_most = 3000;
  uint32_t memory_mb = 88;   // of the machine, in 10^6 bytes; a quarter of it holds requests and responses
  uint32_t descriptors = 0;  // that the process may have; 0: as many as the system lets it
  bool site_is_new = false;  // first start of all gateways: none has a row in the store yet
  // Largest share of a service's requests that go to a new server version before the rollout's verdict on it;
  // 0: no staged rollouts.
  double rollout_share = 0;
  double capacity = 0;  // of the machine, in any common unit: the largest of a zone is preferred as reader

  friend bool operator==(const GatewaySettings&, const GatewaySettings&) = default;
};

// Parses a settings file's text. All errors are reported, not only the first.
configuration::Parsed<GatewaySettings> parseGatewaySettings(const std::string& text);

// Whether the text is a gateway's settings: it has the key `gateway_id` at the top level.
bool looksLikeGatewaySettings(const std::string& text);

}  // namespace quincewick::gateway
