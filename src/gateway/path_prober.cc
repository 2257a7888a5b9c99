#include "gateway/path_prober.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace quincewick::gateway {
namespace {

using forwarding::PathMonitor;
using forwarding::ServerDirectory;
using reactor::ConnectResult;

constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
// A machine that responds does so within a round trip between regions.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(200);
constexpr absl::Duration kProofValidity = absl::Seconds(1);
constexpr size_t kProbesWhileCutOff = 2;  // in a round, to each service
constexpr size_t kMaxProbes = 16;         // at a time

}  // namespace

void PathProber::noteConnected(const forwarding::Server& server) {
  const absl::Time now = reactor::steadyNow();
  proven_at_[server.entry.service] = now;
  if (!monitor_.noteConnected(server.entry.service, now)) {
    return;
  }
  core_.log.event("service_reached", now).with("service", server.entry.service.value());
  // The others are checked at once, some at a time.
  for (const auto& other : core_.directory.ofService(server.entry.service)) {
    if (other->connect_failures > 0) {
      other->ejected_until = std::min(other->ejected_until, now);
    }
  }
}

void PathProber::noteConnectFailed(const ServerDirectory::ServerPointer& server) {
  const absl::Time now = reactor::steadyNow();
  unreached_[server->identity_hash] = server;
  const forwarding::ServiceName& service = server->entry.service;
  const size_t servers = core_.directory.ofService(service).size();
  if (monitor_.noteFailed(service, server->identity_hash, servers)) {
    core_.metrics.countServiceCutOff();
    core_.log.event("service_cut_off", now)
        .with("service", service.value())
        .with("servers", static_cast<int64_t>(servers));
  }
  wake();
}

void PathProber::noteDoubt(const forwarding::Server& server) {
  monitor_.noteDoubt(server.entry.service);
  wake();
}

void PathProber::noteReceived(const forwarding::Server& server) {
  proven_at_[server.entry.service] = reactor::steadyNow();
}

void PathProber::checkUnlessProven(const forwarding::ServiceName& service) {
  const absl::Time now = reactor::steadyNow();
  const auto proven = proven_at_.find(service);
  if (proven == proven_at_.end() || now - proven->second > kProofValidity) {
    monitor_.noteDoubt(service);
    wake();
  }
}

std::vector<forwarding::ServiceName> PathProber::cutOffServices() const {
  std::vector<forwarding::ServiceName> services = monitor_.cutOffServices();
  std::erase_if(services, [this](const forwarding::ServiceName& service) {
    return core_.directory.ofService(service).empty();
  });
  return services;
}

// Probes begin at once; the timer runs only while there is something to check.
void PathProber::wake() {
  if (!has_timer_) {
    has_timer_ = true;
    core_.timers.schedule(reactor::steadyNow(), [this] { tick(); });
  }
}

void PathProber::tick() {
  const absl::Time now = reactor::steadyNow();
  for (const forwarding::ServiceName& service : monitor_.servicesToProbe(now)) {
    probeService(service, now);
  }
  probeEjected(now);
  has_timer_ = monitor_.isAnyInDoubt() || !unreached_.empty();
  if (has_timer_) {
    core_.timers.schedule(now + kTickInterval, [this] { tick(); });
  }
}

// Servers that haven't failed yet come first: one that answers settles the doubt.
void PathProber::probeService(const forwarding::ServiceName& service, absl::Time now) {
  std::vector<std::pair<std::pair<bool, double>, ServerDirectory::ServerPointer>> candidates;
  for (const auto& server : core_.directory.ofService(service)) {
    if (!server->isLeaving()) {
      const bool has_failed =
          !monitor_.isCutOff(service) && monitor_.hasFailed(service, server->identity_hash);
      candidates.push_back({{has_failed, absl::Uniform(core_.random, 0.0, 1.0)}, server});
    }
  }
  if (candidates.empty()) {
    monitor_.forget(service);
    return;
  }
  monitor_.noteProbed(service, now);
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  const size_t most = monitor_.isCutOff(service) ? kProbesWhileCutOff : PathMonitor::kServersForVerdict;
  for (size_t index = 0; index < std::min(most, candidates.size()); ++index) {
    startProbe(candidates[index].second);
  }
}

// A probe ends before the ejection does, and prolongs it if it fails.
void PathProber::probeEjected(absl::Time now) {
  absl::erase_if(unreached_, [](const auto& entry) {
    return entry.second->isLeaving() || entry.second->connect_failures == 0;
  });
  for (const auto& [incarnation, server] : unreached_) {
    if (probes_.size() < kMaxProbes && now >= server->ejected_until - kProbeTimeout - kTickInterval) {
      startProbe(server);
    }
  }
}

void PathProber::startProbe(const ServerDirectory::ServerPointer& server) {
  const uint64_t incarnation = server->identity_hash;
  const auto [entry, is_new] = probes_.try_emplace(incarnation);
  if (!is_new) {
    return;
  }
  entry->second.server = server;
  entry->second.timeout = core_.timers.schedule(reactor::steadyNow() + kProbeTimeout, [this, incarnation] {
    finishProbe(incarnation, ConnectResult::kFailed);
  });
  entry->second.connection = reactor::Connection::connect(
      core_.reactor, server->entry.address, [this, incarnation](ConnectResult result) {
        // Deferred: finishProbe destroys the connection, which is still in its own callback.
        core_.timers.schedule(reactor::steadyNow(),
                              [this, incarnation, result] { finishProbe(incarnation, result); });
      });
}

void PathProber::finishProbe(uint64_t incarnation, ConnectResult result) {
  const auto found = probes_.find(incarnation);
  if (found == probes_.end()) {
    return;
  }
  Probe probe = std::move(found->second);
  probes_.erase(found);
  core_.timers.cancel(probe.timeout);
  probe.connection->abort();
  forwarding::Server& server = *probe.server;
  if (result != ConnectResult::kConnected) {
    if (server.is_listed) {
      ServerDirectory::noteConnectFailure(server, reactor::steadyNow());
      noteConnectFailed(probe.server);
    }
    return;
  }
  if (std::exchange(server.connect_failures, 0) > 0) {
    server.ejected_until = std::min(server.ejected_until, reactor::steadyNow());
  }
  noteConnected(server);
}

}  // namespace quincewick::gateway
