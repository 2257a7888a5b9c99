#include "gateway/crash_detector.h"

#include <algorithm>
#include <utility>

#include "gateway/peer_digest.h"

namespace quincewick::gateway {
namespace {

using forwarding::CrashSubject;
using forwarding::CrashVerdict;
using reactor::ConnectResult;

// A machine that responds does so within a round trip between regions; one that doesn't allows no conclusion.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(250);
constexpr size_t kMaxRequestsPerProbe = 256;

bool contains(const std::vector<CrashSubject>& requests, const CrashSubject& subject) {
  return std::any_of(requests.begin(), requests.end(),
                     [&subject](const CrashSubject& other) { return other.identity == subject.identity; });
}

void addOnce(std::vector<CrashSubject>& requests, const CrashSubject& subject) {
  if (!contains(requests, subject) && requests.size() < kMaxRequestsPerProbe) {
    requests.push_back(subject);
  }
}

}  // namespace

void CrashDetector::noteSent(const CrashSubject& subject) {
  exchange_.noteSent(subject.identity);
  parts_.noteSent(subject.carrier);
}

void CrashDetector::noteServed(const forwarding::ServiceName& service, const CrashSubject& subject) {
  exchange_.noteServed(subject.identity);
  parts_.noteServed(hashOf(service.value()), subject.carrier.parts);
}

void CrashDetector::onAttemptBroken(const forwarding::ServerDirectory::ServerPointer& server,
                                    const CrashSubject& subject) {
  if (!server->isLeaving()) {
    addOnce(probe(server).broken, subject);
  }
}

void CrashDetector::onEndInferred(const forwarding::ServerDirectory::ServerPointer& server,
                                  const CrashSubject& subject) {
  if (!server->isLeaving() && !parts_.wereServedLately(subject.carrier.parts)) {
    addOnce(probe(server).answered, subject);
  }
}

CrashDetector::Probe& CrashDetector::probe(const forwarding::ServerDirectory::ServerPointer& server) {
  const uint64_t incarnation = server->identity_hash;
  Probe& probe = probes_[incarnation];
  if (probe.connection != nullptr) {
    return probe;
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
  return probe;
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
  if (has_crashed) {
    onServerCrash(probe);
  }
  if (result == ConnectResult::kConnected) {
    const uint64_t service = hashOf(probe.server->entry.service.value());
    for (const CrashSubject& subject : probe.answered) {
      parts_.noteServed(service, subject.carrier.parts);
    }
  }
}

void CrashDetector::onServerCrash(const Probe& probe) {
  core_.metrics.countServerCrash();
  core_.log.event("server_ended", reactor::steadyNow())
      .with("server", probe.server->entry.id)
      .with("service", probe.server->entry.service.value())
      .with("requests", static_cast<int64_t>(probe.broken.size()));
  forwarding::ServerCrash crash{probe.server->identity_hash, hashOf(probe.server->entry.service.value()), {}};
  forwarding::PartCrash part_crash{crash.incarnation, crash.service, {}};
  for (const CrashSubject& subject : probe.broken) {
    crash.in_flight.push_back(subject.identity);
  }
  for (const std::vector<CrashSubject>* const requests : {&probe.broken, &probe.answered}) {
    for (const CrashSubject& subject : *requests) {
      if (!subject.carrier.parts.empty()) {
        part_crash.in_flight.push_back(subject.carrier);
      }
    }
  }
  if (!crash.in_flight.empty()) {
    exchange_.onServerCrash(std::move(crash));
  }
  parts_.onServerCrash(part_crash);
}

CrashVerdict CrashDetector::verdictOn(const CrashSubject& subject) {
  const CrashVerdict verdict = exchange_.verdictOn(subject.identity);
  if (verdict != CrashVerdict::kSend) {
    return parts_.isRejected(subject.carrier) ? CrashVerdict::kReject : verdict;
  }
  const bool is_probed = (exchange_.isSuspect(subject.identity) || parts_.isSuspect(subject.carrier)) &&
                         std::any_of(probes_.begin(), probes_.end(), [&subject](const auto& entry) {
                           return contains(entry.second.broken, subject);
                         });
  return is_probed ? CrashVerdict::kWait : parts_.verdictOn(subject.carrier);
}

}  // namespace quincewick::gateway
