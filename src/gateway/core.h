// What the parts of one gateway share: the reactor, what is known of the site, and how requests are counted.
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
#include "forwarding/store_history.h"
#include "forwarding/weights_register.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "reactor/timer_queue.h"
#include "telemetry/event_log.h"

namespace quincewick::gateway {

// The configuration in force here, and how fresh it is.
struct ConfigurationInForce {
  std::shared_ptr<const forwarding::SiteConfiguration> configuration;  // null: none is known yet
  absl::Time confirmed = absl::InfinitePast();  // when the last reading of the store that confirmed it began
};

class CrashDetector;
class OccupancyExchange;
class QuotaExchange;
class RolloutExchange;
class ServerRates;

struct Core {
  Core(GatewaySettings own_settings, std::unique_ptr<forwarding::Dialect> own_dialect, int log_descriptor);

  GatewaySettings settings;
  std::unique_ptr<forwarding::Dialect> dialect;
  boost::asio::io_context reactor;
  reactor::TimerQueue timers;
  telemetry::EventLog log;
  GatewayMetrics metrics;
  absl::InsecureBitGen random;
  ConfigurationInForce in_force;
  forwarding::ServerDirectory directory;
  forwarding::EnginePlacement placement;
  forwarding::RetryBudget budget;
  forwarding::WeightsRegister weights;
  // Placements made since peers were last told.
  struct UnreportedPlacement {
    uint64_t server = 0;  // its identity hash
    std::vector<BlockKey> keys;
  };
  std::vector<UnreportedPlacement> unreported_placements;
  // Versions of weights that engines' answers told, unknown here before, since peers were last told.
  struct UnreportedVersion {
    uint64_t server = 0;  // its identity hash
    ModelName model;
    WeightsVersion version;
  };
  std::vector<UnreportedVersion> unreported_versions;
  // What engines can do, of those whose books this gateway keeps, since peers were last told.
  struct UnreportedCapability {
    uint64_t server = 0;  // its identity hash
    forwarding::EngineCapability capability;
  };
  std::vector<UnreportedCapability> unreported_capabilities;
  // Stores of kept cache that can't be reached, by name.
  absl::flat_hash_set<uint64_t> unreachable_cache_stores;
  forwarding::StoreHistory store_history;
  // The store's clock less this node's, as its last answer told; nothing before the first one.
  std::optional<absl::Duration> store_clock_offset;
  QuotaExchange* quotas = nullptr;          // set by the gateway before it takes callers
  OccupancyExchange* occupancy = nullptr;   // the same
  ServerRates* server_rates = nullptr;      // the same
  CrashDetector* crash_detector = nullptr;  // the same
  RolloutExchange* rollouts = nullptr;      // null: the site moves no versions in stages
  bool is_stopping = false;
  bool rejects_requests = false;  // late in a stop: what comes now is told to go elsewhere
  bool has_server_list = false;
  absl::Time servers_as_of = absl::InfinitePast();  // the list of servers is as it was then, or newer
  size_t requests_under_way = 0;
  uint64_t split_counter = 0;  // spreads requests over a route's services by their weights

  static uint64_t cacheStoreId(const Address& store);
  // The configuration's stores of kept cache that can be reached, as far as known.
  std::vector<forwarding::CacheStoreTraits> liveCacheStores() const;
  // What is believed of the caches of servers that went is void.
  void clearFreedSlots();
  // Whether a server may have started then, by this node's time of day. One that is far ahead would make
  // every later start an earlier one.
  bool isPlausibleStart(absl::Time started) const;
  // Takes other bounds while serving; addresses and names stay as they were at the start.
  void applyBounds(const GatewayBounds& bounds);
  // The store's clock now, as far as known.
  std::optional<absl::Duration> storeClock(absl::Time now) const;
  // Since the configuration in force was last confirmed; infinite where none is known.
  absl::Duration configurationAge(absl::Time now) const { return now - in_force.confirmed; }
  // Whether every configuration is known that has to be in force now.
  bool configurationIsCurrent(absl::Time now) const;
  // Whether a request under a key may be sent now.
  bool keysAreConfirmed(absl::Time now) const;
};

}  // namespace quincewick::gateway
