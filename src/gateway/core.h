// State shared by the parts of one gateway: the reactor, the view of the site, limits, and metrics.
#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/random/random.h>
#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "forwarding/dialect.h"
#include "forwarding/engine_placement.h"
#include "forwarding/retry_budget.h"
#include "forwarding/server_directory.h"
#include "forwarding/site_configuration.h"
#include "forwarding/software_history.h"
#include "forwarding/start_limit.h"
#include "forwarding/store_history.h"
#include "forwarding/weights_register.h"
#include "gateway/connection_limits.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "reactor/buffer_budget.h"
#include "reactor/closing_connections.h"
#include "reactor/timer_queue.h"
#include "telemetry/event_log.h"
#include "types/error.h"

namespace quincewick::gateway {

// The configuration in force at this gateway, and when it was confirmed.
struct ConfigurationInForce {
  std::shared_ptr<const forwarding::SiteConfiguration> configuration;  // null: none yet
  absl::Time confirmed = absl::InfinitePast();  // start of the last store read that confirmed it
};

class CallerConnections;
class CrashDetector;
class Delegations;
class OccupancyExchange;
class PathProber;
class PermitExchange;
class QuotaExchange;
class RolloutExchange;
class ServerRates;
class StreamOriginExchange;

struct Core {
  Core(GatewaySettings own_settings, std::unique_ptr<forwarding::Dialect> own_dialect, int log_descriptor);

  GatewaySettings settings;
  ConnectionLimits connection_limits;
  // Of callers' requests and of responses to them; outlives the reactor's handlers.
  reactor::BufferBudget buffers;
  std::unique_ptr<forwarding::Dialect> dialect;
  boost::asio::io_context reactor;
  reactor::TimerQueue timers;
  reactor::ClosingConnections closing_connections;  // of callers
  telemetry::EventLog log;
  GatewayMetrics metrics;
  absl::InsecureBitGen random;
  ConfigurationInForce in_force;
  forwarding::ServerDirectory directory;
  forwarding::EnginePlacement placement;
  forwarding::RetryBudget budget;
  forwarding::WeightsRegister weights;
  forwarding::SoftwareHistories software_histories;
  forwarding::EngineWaits engine_waits;
  // Placements since the last digest to peers.
  struct UnreportedPlacement {
    uint64_t server = 0;  // its identity hash
    std::vector<BlockKey> keys;
  };
  std::vector<UnreportedPlacement> unreported_placements;
  // Weights versions learned from engines' responses since the last digest to peers.
  struct UnreportedVersion {
    uint64_t server = 0;  // its identity hash
    ModelName model;
    WeightsVersion version;
  };
  std::vector<UnreportedVersion> unreported_versions;
  // Measured capabilities, of engines whose occupancy this gateway owns, since the last digest to peers.
  struct UnreportedCapability {
    uint64_t server = 0;  // its identity hash
    forwarding::EngineCapability capability;
  };
  std::vector<UnreportedCapability> unreported_capabilities;
  // Cache stores that can't be reached, by cacheStoreId.
  absl::flat_hash_set<uint64_t> unreachable_cache_stores;
  forwarding::StoreHistory store_history;
  // The store's clock minus this node's, at least, from its last response; empty before the first one.
  std::optional<absl::Duration> store_clock_offset;
  // The same, at most, from its last response to a call that doesn't wait for changes.
  std::optional<absl::Duration> store_clock_offset_at_most;
  CallerConnections* connections = nullptr;        // set by the gateway before it accepts callers
  QuotaExchange* quotas = nullptr;                 // the same
  OccupancyExchange* occupancy = nullptr;          // the same
  ServerRates* server_rates = nullptr;             // the same
  CrashDetector* crash_detector = nullptr;         // the same
  PathProber* paths = nullptr;                     // the same
  PermitExchange* permits = nullptr;               // the same
  Delegations* delegations = nullptr;              // the same
  StreamOriginExchange* stream_origins = nullptr;  // the same
  RolloutExchange* rollouts = nullptr;             // null: the site has no staged rollouts
  bool is_stopping = false;
  bool rejects_requests = false;  // late in the shutdown: new requests get 503
  // No read confirmed the operator's rows for longer than they need to come into force.
  bool is_operator_out_of_reach = false;
  bool has_server_list = false;
  absl::Time servers_as_of = absl::InfinitePast();  // the server list is at least as recent
  size_t requests_under_way = 0;
  uint64_t split_counter = 0;  // distributes requests over a route's services by weight

  static uint64_t cacheStoreId(const Address& store);
  // The configured cache stores, except those known to be unreachable.
  std::vector<forwarding::CacheStoreTraits> liveCacheStores() const;
  // Bytes that may be held in buffers, by the settings' memory and the configuration's limits.
  size_t bufferLimit() const;
  // Forgets the cached prompts of servers that were removed.
  void clearFreedSlots();
  // Logs and counts that what a server sends is no answer to this attempt.
  void noteRefusedResponse(const forwarding::Server& server, const std::string& attempt_id,
                           std::string_view cause);
  // Logs why a call of the gateway's own that was sent has no answer. `peer`: an id, or "store".
  void noteLostCall(std::string_view peer, const Error& error);
  // Whether a server may have started at that time, by this node's clock. A start time far in the future
  // would make every later incarnation look older.
  bool isPlausibleStart(absl::Time started) const;
  // Applies new bounds at run time; addresses and names stay as they were at the start.
  void applyBounds(const GatewayBounds& bounds);
  // The store's clock now; empty before its first response.
  std::optional<absl::Duration> storeClock(absl::Time now) const;
  // Time since the configuration in force was last confirmed; infinite if there is none.
  absl::Duration configurationAge(absl::Time now) const { return now - in_force.confirmed; }
  // Whether the configuration was confirmed within its bound. A newer one that is not known here was then
  // stored less than the bound ago and need not be in force yet.
  bool configurationIsCurrent(absl::Time now) const;
  // Whether keys were confirmed recently enough to send a request under a key now.
  bool keysAreConfirmed(absl::Time now) const;
};

}  // namespace quincewick::gateway
