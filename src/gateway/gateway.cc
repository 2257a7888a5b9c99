#include "gateway/gateway.h"

#include <signal.h>  // NOLINT: SIGHUP

#include <algorithm>
#include <utility>
#include <vector>

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(200);
// Callers' entry asks each second and takes a gateway out after two answers that it is not ready. What still
// comes after that is told at once to go elsewhere.
constexpr absl::Duration kShortestStop = absl::Milliseconds(2600);
constexpr absl::Duration kStopMargin = absl::Milliseconds(400);
constexpr reactor::MessageLimits kReadinessLimits = {8192, 8192};
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

// Answers each question on a connection with whether the gateway is ready.
class Gateway::ReadinessConnection final : public reactor::ConnectionHandler {
 public:
  ReadinessConnection(Gateway& gateway, reactor::Connection::Socket socket)
      : gateway_(gateway),
        connection_(std::make_shared<reactor::Connection>(std::move(socket))),
        reader_(reactor::MessageKind::kRequest, kReadinessLimits) {}

  void start() { connection_->start(this); }

 private:
  void onBytes(std::string_view bytes) override {
    reader_.take(bytes);
    while (reader_.status() == reactor::ReadStatus::kDone) {
      const int status = gateway_.isReady() ? kOk : kUnavailable;
      const bool keeps_alive = reader_.keepsAlive();
      HeaderFields fields = {{"Content-Length", "0"}};
      if (!keeps_alive) {
        fields.push_back({"Connection", "close"});
      }
      connection_->send(printAnswerHead(status, reasonOf(status), fields));
      if (!keeps_alive) {
        close(true);
        return;
      }
      reader_.next();
      reader_.take({});
    }
    if (reader_.status() != reactor::ReadStatus::kNeedsMore) {
      close(false);
    }
  }
  void onEnd(reactor::EndKind /*kind*/) override { close(false); }

  void close(bool linger) {
    if (linger) {
      connection_->closeWhenSent();
    } else {
      connection_->abort();
    }
    // Called from within this object: it goes once the reactor is back.
    boost::asio::post(gateway_.core_.reactor,
                      [&gateway = gateway_, self = this] { gateway.readiness_connections_.erase(self); });
  }

  Gateway& gateway_;
  std::shared_ptr<reactor::Connection> connection_;
  reactor::MessageReader reader_;
};

Gateway::Gateway(GatewaySettings settings, std::unique_ptr<forwarding::Dialect> dialect, int log_descriptor)
    : core_(std::move(settings), std::move(dialect), log_descriptor),
      pool_(core_),
      follower_(core_),
      peers_(core_),
      orders_(core_, peers_),
      signals_(core_.reactor, SIGTERM, SIGINT, SIGHUP) {}

Gateway::~Gateway() = default;

Result<void> Gateway::start() {
  const GatewayListenSettings& listen = core_.settings.listen;
  callers_ = std::make_unique<reactor::Listener>(
      core_.reactor, listen.callers,
      [this](reactor::Connection::Socket socket) { acceptCaller(std::move(socket)); });
  readiness_ = std::make_unique<reactor::Listener>(
      core_.reactor, listen.readiness,
      [this](reactor::Connection::Socket socket) { acceptReadiness(std::move(socket)); });
  if (!callers_->isListening() || !readiness_->isListening()) {
    return fail(ErrorCode::kUnavailable, "an address to listen at can't be bound");
  }
  core_.log.event("start", reactor::steadyNow()).with("zone", core_.settings.zone.value());
  awaitSignal();
  follower_.start();
  peers_.start();
  orders_.start();
  tick();
  return outcome::success();
}

void Gateway::run() {
  core_.reactor.run();
  core_.log.flush();
}

bool Gateway::isReady() const {
  return !core_.is_stopping && core_.in_force.configuration != nullptr && core_.knows_servers &&
         core_.keysAreConfirmed(reactor::steadyNow());
}

void Gateway::acceptCaller(reactor::Connection::Socket socket) {
  if (connections_.size() >= core_.settings.connections_at_most) {
    return;  // closed before a byte of it is read
  }
  auto connection = std::make_shared<CallerConnection>(
      core_, pool_, std::move(socket), [this](CallerConnection* closed) { connections_.erase(closed); });
  connections_.emplace(connection.get(), connection);
  connection->start();
}

void Gateway::acceptReadiness(reactor::Connection::Socket socket) {
  auto connection = std::make_shared<ReadinessConnection>(*this, std::move(socket));
  readiness_connections_.emplace(connection.get(), connection);
  connection->start();
}

void Gateway::awaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      core_.log.event("reload", reactor::steadyNow());
    } else {
      beginStop();
    }
    awaitSignal();
  });
}

void Gateway::beginStop() {
  if (core_.is_stopping) {
    return;
  }
  core_.is_stopping = true;
  stop_began_ = reactor::steadyNow();
  core_.log.event("stopping", stop_began_).with("under_way", static_cast<int64_t>(core_.requests_under_way));
}

void Gateway::tick() {
  const absl::Time now = reactor::steadyNow();
  pool_.sweep(now);
  if (std::exchange(was_ready_, isReady()) != isReady()) {
    core_.log.event("ready", now).with("ready", isReady() ? "true" : "false");
  }
  core_.log.flush();
  if (core_.is_stopping) {
    checkStopped();
  }
  core_.timers.schedule(now + kTick, [this] { tick(); });
}

// What is in hand is served to the end of the grace; idle connections stay until the entry has looked away.
void Gateway::checkStopped() {
  const absl::Duration stopping = reactor::steadyNow() - stop_began_;
  const bool grace_is_over = stopping >= core_.settings.bounds.stop_grace - kStopMargin;
  if (stopping < kShortestStop) {
    return;
  }
  core_.refuses_requests = true;
  callers_->close();
  std::vector<std::shared_ptr<CallerConnection>> idle;
  for (const auto& [pointer, connection] : connections_) {
    if (!connection->isServing()) {
      idle.push_back(connection);
    }
  }
  for (const auto& connection : idle) {
    connection->stopSoon();
  }
  const bool is_done = core_.requests_under_way == 0 && !orders_.isCarryingOut(reactor::steadyNow());
  if (is_done || grace_is_over) {
    core_.log.event("stopped", reactor::steadyNow())
        .with("under_way", static_cast<int64_t>(core_.requests_under_way));
    core_.reactor.stop();
  }
}

}  // namespace quincewick::gateway
