#include "gateway/crash_detector.h"

#include <algorithm>
#include <utility>

#include "gateway/peer_digest.h"

namespace quincewick::gateway {
namespace {

using forwarding::CrashVerdict;
using forwarding::RequestIdentity;
using reactor::ConnectResult;

// A machine that responds does so within a round trip between regions; one that doesn't allows no conclusion.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(250);
constexpr size_t kMaxRequestsPerProbe = 256;

}  // namespace

void CrashDetector::onAttemptBroken(const forwarding::ServerDirectory::ServerPointer& server,
                                    const RequestIdentity& identity) {
  if (server->isLeaving()) {
    return;
  }
  const uint64_t incarnation = server->identity_hash;
  Probe& probe = probes_[incarnation];
  const bool is_known =
      std::find(probe.requests.begin(), probe.requests.end(), identity) != probe.requests.end();
  if (!is_known && probe.requests.size() < kMaxRequestsPerProbe) {
    probe.requests.push_back(identity);
  }
  if (probe.connection != nullptr) {
    return;
  }
  probe.server = server;
  probe.timeout = core_.timers.schedule(reactor::steadyNow() + kProbeTimeout, [this, incarnation] {
    finishProbe(incarnation, ConnectResult::kFailed);
  });
  probe.connection = reactor::Connection::connect(
      core_.reactor, server->entry.address, [this, incarnation](ConnectResult result) {
        // Deferred: finishProbe destroys the connection, which is still in its own callback.
        core_.timers.schedule(reactor::steadyNow(),
                              [this, incarnation, result] { finishProbe(incarnation, result); });
      });
}

void CrashDetector::finishProbe(uint64_t incarnation, ConnectResult result) {
  const auto found = probes_.find(incarnation);
  if (found == probes_.end()) {
    return;
  }
  Probe probe = std::move(found->second);
  probes_.erase(found);
  core_.timers.cancel(probe.timeout);
  probe.connection->abort();
  const bool has_crashed = result == ConnectResult::kRefused && !probe.server->isLeaving();
  if (!has_crashed) {
    return;
  }
  core_.metrics.countServerCrash();
  core_.log.event("server_ended", reactor::steadyNow())
      .with("server", probe.server->entry.id)
      .with("service", probe.server->entry.service.value())
      .with("requests", static_cast<int64_t>(probe.requests.size()));
  exchange_.onServerCrash(
      {incarnation, hashOf(probe.server->entry.service.value()), std::move(probe.requests)});
}

CrashVerdict CrashDetector::verdictOn(const RequestIdentity& identity) {
  const CrashVerdict verdict = exchange_.verdictOn(identity);
  if (verdict != CrashVerdict::kSend || !exchange_.isSuspect(identity)) {
    return verdict;
  }
  const bool is_probed = std::any_of(probes_.begin(), probes_.end(), [&identity](const auto& entry) {
    const std::vector<RequestIdentity>& requests = entry.second.requests;
    return std::find(requests.begin(), requests.end(), identity) != requests.end();
  });
  return is_probed ? CrashVerdict::kWait : CrashVerdict::kSend;
}

}  // namespace quincewick::gateway
