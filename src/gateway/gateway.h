// A gateway process: accepts callers' connections, serves readiness and metrics, follows the store, and shuts
// down gracefully. Everything runs on the thread that calls `run`.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "gateway/back_end_pool.h"
#include "gateway/cache_store_watch.h"
#include "gateway/caller_connections.h"
#include "gateway/core.h"
#include "gateway/crash_detector.h"
#include "gateway/crash_exchange.h"
#include "gateway/delegations.h"
#include "gateway/occupancy_exchange.h"
#include "gateway/part_exchange.h"
#include "gateway/path_prober.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "gateway/permit_exchange.h"
#include "gateway/quota_exchange.h"
#include "gateway/rollout_controller.h"
#include "gateway/rollout_exchange.h"
#include "gateway/row_relay.h"
#include "gateway/server_rates.h"
#include "gateway/site_follower.h"
#include "gateway/stream_origin_exchange.h"
#include "gateway/weight_loader.h"
#include "reactor/connection.h"
#include "reactor/simple_http_server.h"

namespace quincewick::gateway {

class Gateway {
 public:
  // `log_descriptor`: file descriptor for log lines; -1: no log.
  Gateway(GatewaySettings settings, std::unique_ptr<forwarding::Dialect> dialect, int log_descriptor);
  ~Gateway();

  // Binds the addresses and starts all parts. Errors: kUnavailable.
  Result<void> start();
  // Serves until a graceful stop, requested by a signal, is complete.
  void run();
  // Makes `run` return without a graceful stop; for tests.
  void stop() { core_.reactor.stop(); }
  // Starts the graceful stop, as SIGTERM does. Callable from any thread.
  void stopGracefully();
  // Called at each tick, as long as the reactor takes turns. Set before `start`.
  void setTickObserver(std::function<void()> on_tick) { tick_observer_ = std::move(on_tick); }
  // Reads the settings on SIGHUP; returns nothing if they can't be read. Set before `run`.
  using Reload = std::function<std::optional<GatewaySettings>()>;
  void setReload(Reload reload) { reload_ = std::move(reload); }

  uint16_t callersPort() const { return caller_listener_->port(); }
  uint16_t readinessPort() const { return readiness_server_->port(); }
  // 0: metrics are not served.
  uint16_t metricsPort() const { return metrics_server_ == nullptr ? 0 : metrics_server_->port(); }
  bool isReady() const;

 private:
  void startPeers();
  bool startDelegations();
  reactor::SimpleHttpResponse handleReadiness() const;
  reactor::SimpleHttpResponse handleMetrics();
  void awaitSignal();
  void beginStop();
  void reload();
  void onTick();
  // Notes how late the tick is and how much processor time was used since the last one.
  void observeTick(absl::Time now);
  void checkStopped();

  Core core_;
  BackEndPool pool_;
  PeerDirectory peer_directory_;
  PeerExchange peers_;
  QuotaExchange quotas_;
  ServerRates server_rates_;
  PermitExchange permits_;
  PathProber paths_;
  Delegations delegations_;
  StreamOriginExchange stream_origins_;
  OccupancyExchange occupancy_;
  CrashExchange crash_exchange_;
  PartExchange part_exchange_;
  CrashDetector crash_detector_;
  RolloutExchange rollouts_;
  RolloutController rollout_controller_;
  RowRelay relay_;
  SiteFollower follower_;
  WeightLoader weight_loader_;
  CacheStoreWatch cache_stores_;
  boost::asio::signal_set signals_;
  std::unique_ptr<reactor::Listener> caller_listener_;
  std::unique_ptr<reactor::Listener> delegation_listener_;
  std::unique_ptr<reactor::SimpleHttpServer> readiness_server_;
  std::unique_ptr<reactor::SimpleHttpServer> metrics_server_;
  CallerConnections connections_;
  absl::Time stop_began_ = absl::InfiniteFuture();
  bool was_ready_ = false;
  absl::Time tick_due_ = absl::InfiniteFuture();
  absl::Duration processor_time_;  // of the thread, at the last tick
  std::function<void()> tick_observer_;
  Reload reload_;
};

}  // namespace quincewick::gateway
