#include "gateway/gateway.h"

#include <signal.h>  // NOLINT: SIGHUP

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "types/build_revision.h"

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(200);
// The load balancer checks readiness each second and removes a gateway after two checks that fail. Requests
// that still arrive after that are rejected at once.
constexpr absl::Duration kMinStopTime = absl::Milliseconds(2600);
constexpr absl::Duration kStopMargin = absl::Milliseconds(400);
constexpr absl::Duration kLoggedTickDelay = absl::Milliseconds(500);
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

quota::LimitTolerance toleranceOf(const GatewayBounds& bounds) {
  return {bounds.limit_window, bounds.limit_overshoot, bounds.limit_slack};
}

const quota::RateLimit* limitOfTenant(const Core& core, const quota::LimitName& name) {
  const auto& configuration = core.in_force.configuration;
  const forwarding::Tenant* const tenant =
      configuration == nullptr ? nullptr : configuration->findTenantNamed(TenantId(name.value()));
  return tenant == nullptr || !tenant->limit ? nullptr : &*tenant->limit;
}

}  // namespace

Gateway::Gateway(GatewaySettings settings, std::unique_ptr<forwarding::Dialect> dialect, int log_descriptor)
    : core_(std::move(settings), std::move(dialect), log_descriptor),
      pool_(core_),
      peer_directory_(core_),
      peers_(core_, peer_directory_),
      quotas_(core_, peer_directory_, peers_, peer::PeerModule::kLimits, toleranceOf(core_.settings.bounds),
              [this](const quota::LimitName& name) { return limitOfTenant(core_, name); }),
      server_rates_(core_, peer_directory_, peers_),
      permits_(core_, peer_directory_, peers_),
      paths_(core_),
      delegations_(core_, peer_directory_, peers_, paths_),
      stream_origins_(core_, peer_directory_, peers_),
      occupancy_(core_, peer_directory_, peers_),
      crash_exchange_(core_, peers_),
      part_exchange_(core_, peers_),
      crash_detector_(core_, crash_exchange_, part_exchange_),
      rollouts_(core_, peers_),
      rollout_controller_(core_, peer_directory_, peers_, rollouts_),
      relay_(core_, peer_directory_),
      follower_(core_, peer_directory_, peers_, relay_),
      weight_loader_(core_, peers_),
      cache_stores_(core_, [this] { return follower_.isZoneReader(); }),
      signals_(core_.reactor, SIGTERM, SIGINT, SIGHUP),
      connections_(core_, pool_) {}

Gateway::~Gateway() = default;

Result<void> Gateway::start() {
  const GatewayListenSettings& listen = core_.settings.listen;
  caller_listener_ = std::make_unique<reactor::Listener>(
      core_.reactor, listen.callers,
      [this](reactor::Connection::Socket socket) { connections_.accept(std::move(socket), nullptr); },
      [this] { connections_.freeDescriptor(); }, CallerConnection::kFirstReceiveBufferBytes);
  readiness_server_ = std::make_unique<reactor::SimpleHttpServer>(
      core_.reactor, listen.readiness, [this](const HttpHead&) { return handleReadiness(); });
  if (listen.metrics) {
    metrics_server_ = std::make_unique<reactor::SimpleHttpServer>(
        core_.reactor, *listen.metrics, [this](const HttpHead&) { return handleMetrics(); });
  }
  const bool are_bound = caller_listener_->isListening() && readiness_server_->isListening() &&
                         (metrics_server_ == nullptr || metrics_server_->isListening()) && startDelegations();
  if (!are_bound) {
    return fail(ErrorCode::kUnavailable, "cannot bind a listen address");
  }
  core_.log.event("start", reactor::steadyNow())
      .with("zone", core_.settings.zone.value())
      .with("build", buildRevision());
  awaitSignal();
  core_.connections = &connections_;
  core_.quotas = &quotas_;
  core_.server_rates = &server_rates_;
  core_.permits = &permits_;
  core_.paths = &paths_;
  core_.delegations = &delegations_;
  core_.stream_origins = &stream_origins_;
  core_.occupancy = &occupancy_;
  core_.crash_detector = &crash_detector_;
  quotas_.start();
  server_rates_.start();
  permits_.start();
  stream_origins_.start();
  occupancy_.start();
  crash_exchange_.start([this] { return follower_.isZoneReader(); });
  part_exchange_.start([this] { return follower_.isZoneReader(); });
  if (core_.settings.rollout_share > 0) {
    core_.rollouts = &rollouts_;
    rollouts_.start();
    rollout_controller_.start([this] { return follower_.isZoneReader(); });
  }
  follower_.start();
  startPeers();
  weight_loader_.start();
  cache_stores_.start();
  onTick();
  return outcome::success();
}

void Gateway::startPeers() {
  if (!core_.settings.listen.peers) {
    core_.budget.noteNodes(1);
    return;
  }
  peers_.setReaderStatus([this] { return follower_.isZoneReader(); },
                         [this] { return follower_.seeksReader(); });
  if (relay_.listen(*core_.settings.listen.peers)) {
    core_.settings.listen.peers->port = relay_.port();  // digests arrive at the same port number
  } else {
    core_.log.event("relay_unheard", reactor::steadyNow());
  }
  peers_.listen();
  peer_directory_.start([this] { peers_.begin(); });
}

void Gateway::run() {
  core_.reactor.run();
  core_.log.flush();
}

bool Gateway::isReady() const {
  return !core_.is_stopping && core_.in_force.configuration != nullptr && core_.has_server_list &&
         core_.keysAreConfirmed(reactor::steadyNow()) &&
         (core_.rollouts == nullptr || core_.rollouts->hasRecords());
}

// Returns false if the address can't be bound.
bool Gateway::startDelegations() {
  if (core_.settings.listen.delegation) {
    delegation_listener_ = std::make_unique<reactor::Listener>(
        core_.reactor, *core_.settings.listen.delegation,
        [this](reactor::Connection::Socket socket) { connections_.accept(std::move(socket), &delegations_); },
        [this] { connections_.freeDescriptor(); }, CallerConnection::kFirstReceiveBufferBytes);
    if (!delegation_listener_->isListening()) {
      return false;
    }
  }
  delegations_.start(delegation_listener_ == nullptr ? 0 : delegation_listener_->port());
  return true;
}

reactor::SimpleHttpResponse Gateway::handleReadiness() const {
  reactor::SimpleHttpResponse answer;
  answer.status = isReady() ? kOk : kUnavailable;
  return answer;
}

reactor::SimpleHttpResponse Gateway::handleMetrics() {
  const absl::Time now = reactor::steadyNow();
  GatewayMetrics::Gauges gauges;
  if (core_.in_force.configuration != nullptr) {
    gauges.configuration_version = static_cast<double>(core_.in_force.configuration->version().value());
    gauges.configuration_age_seconds = absl::ToDoubleSeconds(now - core_.in_force.confirmed);
  }
  gauges.holds_lease = weight_loader_.holdsLease(now) ? 1 : 0;
  gauges.peers = static_cast<double>(peers_.livePeers(now).size());
  gauges.servers = static_cast<double>(core_.directory.all().size());
  gauges.servers_age_seconds = absl::ToDoubleSeconds(now - core_.servers_as_of);
  gauges.repeats_left = core_.budget.minimumLeft();
  gauges.requests_suspect = static_cast<double>(crash_exchange_.suspectCount());
  gauges.requests_blamed = static_cast<double>(crash_exchange_.quarantinedCount());
  gauges.parts_suspect = static_cast<double>(part_exchange_.suspectCount());
  gauges.parts_blamed = static_cast<double>(part_exchange_.quarantinedCount());
  gauges.rollouts_running = core_.rollouts != nullptr && core_.rollouts->isAnyRunning() ? 1 : 0;
  gauges.caller_connections = static_cast<double>(connections_.size());
  gauges.buffered_bytes = static_cast<double>(core_.buffers.used());
  gauges.server_connections_opened = static_cast<double>(pool_.openedConnections());
  gauges.requests_under_way = static_cast<double>(core_.requests_under_way);
  const PeerExchange::Backlog backlog = peers_.backlog(now);
  gauges.engine_updates_pending = static_cast<double>(backlog.engine_updates);
  gauges.engine_update_oldest_seconds = absl::ToDoubleSeconds(backlog.oldest);
  gauges.log_lines_dropped = static_cast<double>(core_.log.droppedLines());
  return {kOk, "text/plain; version=0.0.4", core_.metrics.print(gauges)};
}

void Gateway::awaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      reload();
    } else {
      beginStop();
    }
    awaitSignal();
  });
}

// If the file can't be read, the current settings stay in force.
void Gateway::reload() {
  const std::optional<GatewaySettings> settings = reload_ ? reload_() : std::nullopt;
  core_.log.event("reload", reactor::steadyNow()).with("done", settings ? "true" : "false");
  if (settings) {
    core_.applyBounds(settings->bounds);
    quotas_.setTolerance(toleranceOf(settings->bounds));
  }
}

void Gateway::stopGracefully() {
  boost::asio::post(core_.reactor, [this] { beginStop(); });
}

void Gateway::beginStop() {
  if (core_.is_stopping) {
    return;
  }
  core_.is_stopping = true;
  stop_began_ = reactor::steadyNow();
  core_.log.event("stopping", stop_began_).with("under_way", static_cast<int64_t>(core_.requests_under_way));
}

void Gateway::onTick() {
  const absl::Time now = reactor::steadyNow();
  observeTick(now);
  pool_.sweep(now);
  core_.closing_connections.sweep(now);
  core_.buffers.setLimit(core_.bufferLimit());
  if (std::exchange(was_ready_, isReady()) != isReady()) {
    core_.log.event("ready", now).with("ready", isReady() ? "true" : "false");
  }
  core_.log.flush();
  if (core_.is_stopping) {
    checkStopped();
  }
  tick_due_ = now + kTickInterval;
  core_.timers.schedule(tick_due_, [this] { onTick(); });
}

// A late tick with as much processor time is a long turn; one with little, a process that was stopped or
// starved.
void Gateway::observeTick(absl::Time now) {
  const absl::Duration processor_time = reactor::threadProcessorTime();
  const absl::Duration used = processor_time - std::exchange(processor_time_, processor_time);
  const absl::Duration late = std::max(now - tick_due_, absl::ZeroDuration());
  core_.metrics.observeTickDelay(late);
  if (late >= kLoggedTickDelay) {
    core_.log.event("tick_late", now).with("late_ms", late).with("processor_ms", used);
  }
  if (tick_observer_) {
    tick_observer_();
  }
}

// Requests in progress are served until the end of the grace period; idle connections stay open until the
// load balancer has removed this gateway.
void Gateway::checkStopped() {
  const absl::Duration stopping = reactor::steadyNow() - stop_began_;
  const bool grace_is_over = stopping >= core_.settings.bounds.stop_grace - kStopMargin;
  if (stopping < kMinStopTime) {
    return;
  }
  core_.rejects_requests = true;
  caller_listener_->close();
  if (delegation_listener_ != nullptr) {
    delegation_listener_->close();
  }
  connections_.closeIdle();
  const bool is_done = core_.requests_under_way == 0 && core_.closing_connections.areAllDelivered() &&
                       !weight_loader_.hasPendingOrders(reactor::steadyNow());
  if (is_done || grace_is_over) {
    core_.log.event("stopped", reactor::steadyNow())
        .with("under_way", static_cast<int64_t>(core_.requests_under_way));
    core_.reactor.stop();
  }
}

}  // namespace quincewick::gateway
