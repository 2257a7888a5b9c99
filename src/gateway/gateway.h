// One gateway process: takes callers' connections, answers whether it is ready, follows the store, and stops
// in good order. All of it runs on the thread that calls `run`.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "gateway/back_end_pool.h"
#include "gateway/cache_store_watch.h"
#include "gateway/caller_connection.h"
#include "gateway/core.h"
#include "gateway/crash_exchange.h"
#include "gateway/crash_watch.h"
#include "gateway/occupancy_exchange.h"
#include "gateway/order_giver.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "gateway/quota_exchange.h"
#include "gateway/rollout_director.h"
#include "gateway/rollout_exchange.h"
#include "gateway/row_relay.h"
#include "gateway/server_rates.h"
#include "gateway/site_follower.h"
#include "reactor/connection.h"
#include "reactor/simple_http_server.h"

namespace quincewick::gateway {

class Gateway {
 public:
  // `log_descriptor`: where lines of the log go; -1: nowhere.
  Gateway(GatewaySettings settings, std::unique_ptr<forwarding::Dialect> dialect, int log_descriptor);
  ~Gateway();

  // Binds its addresses. Errors: kUnavailable.
  Result<void> start();
  // Serves until a signal to stop has been carried out.
  void run();
  // Ends `run` soon; for tests.
  void stop() { core_.reactor.stop(); }
  // Begins the planned stop, as the signal does. From any thread.
  void stopInGoodOrder();
  // Where the settings come from when the signal to reload comes: nothing while they can't be read. Set
  // before `run`.
  using Reload = std::function<std::optional<GatewaySettings>()>;
  void setReload(Reload reload) { reload_ = std::move(reload); }

  uint16_t callersPort() const { return callers_->port(); }
  uint16_t readinessPort() const { return readiness_->port(); }
  // 0: it tells no metrics.
  uint16_t metricsPort() const { return metrics_ == nullptr ? 0 : metrics_->port(); }
  bool isReady() const;

 private:
  void startPeers();
  void acceptCaller(reactor::Connection::Socket socket);
  reactor::SimpleHttpResponse answerReadiness() const;
  reactor::SimpleHttpResponse answerMetrics();
  void awaitSignal();
  void beginStop();
  void reload();
  void tick();
  void checkStopped();

  Core core_;
  BackEndPool pool_;
  PeerDirectory peer_directory_;
  PeerExchange peers_;
  QuotaExchange quotas_;
  ServerRates server_rates_;
  OccupancyExchange occupancy_;
  CrashExchange crash_exchange_;
  CrashWatch crashes_;
  RolloutExchange rollouts_;
  RolloutDirector rollout_director_;
  RowRelay relay_;
  SiteFollower follower_;
  OrderGiver orders_;
  CacheStoreWatch cache_stores_;
  boost::asio::signal_set signals_;
  std::unique_ptr<reactor::Listener> callers_;
  std::unique_ptr<reactor::SimpleHttpServer> readiness_;
  std::unique_ptr<reactor::SimpleHttpServer> metrics_;
  absl::flat_hash_map<CallerConnection*, std::shared_ptr<CallerConnection>> connections_;
  absl::Time stop_began_ = absl::InfiniteFuture();
  bool was_ready_ = false;
  Reload reload_;
};

}  // namespace quincewick::gateway
