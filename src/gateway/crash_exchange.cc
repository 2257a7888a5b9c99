#include "gateway/crash_exchange.h"

#include <algorithm>
#include <utility>

namespace quincewick::gateway {
namespace {

using forwarding::CrashVerdict;
using forwarding::RequestIdentity;
using forwarding::ServerCrash;

// Crashes within this time share a datagram.
constexpr absl::Duration kBatchDelay = absl::Milliseconds(20);
// A crash that adds to a suspect's count is reported more than once, since datagrams get lost.
constexpr int kReportRounds = 3;
constexpr absl::Duration kRoundInterval = absl::Milliseconds(300);
// Token bucket for broadcasts to all peers. More crashes than that mean that a rack or a zone fails and that
// no request causes them.
constexpr double kMaxRoundBurst = 8;
constexpr double kRoundsPerSecond = 4;
constexpr size_t kMaxPendingReports = 64;
// A gateway that starts or comes back gets the peers' state within about a second.
constexpr absl::Duration kHeartbeatInterval = absl::Seconds(1);
constexpr size_t kPeersPerHeartbeat = 2;
// The value of a row, whose key holds all information. A std::string, because g++ 12 warns of an overlap in
// assigned literals.
const std::string kBlamed = "blamed";
constexpr size_t kCrashFrameEntries = 2;  // entries of a datagram that a crash takes beside its requests

}  // namespace

CrashExchange::CrashExchange(Core& core, PeerExchange& peers)
    : core_(core),
      peers_(peers),
      record_(core, kTable),
      register_(reactor::steadyNow()),
      budget_(kRoundsPerSecond, kMaxRoundBurst),
      timer_(core.timers, [this] { sendReports(); }) {}

void CrashExchange::start(std::function<bool()> reads_store) {
  reads_store_ = std::move(reads_store);
  peers_.setMessageHandler(peer::PeerModule::kCrashes, [this](const NodeId& from, std::string_view payload) {
    return receive(from, payload);
  });
  heartbeat();
}

CrashVerdict CrashExchange::verdictOn(const RequestIdentity& identity) {
  const absl::Time now = reactor::steadyNow();
  // If two gateways both conclude that they own the trial, there are two of them; the site allows three.
  if (!register_.isTrialDue(identity, now) || !peers_.ranksFirst(forwarding::printIdentity(identity))) {
    return register_.verdictOn(identity, now);
  }
  register_.takeTrial(identity, now);
  core_.log.event("request_tried_again", now).with("same_as", forwarding::printIdentity(identity));
  CrashMessage message;
  message.quarantined.push_back({identity, true});
  broadcast(message);
  return CrashVerdict::kSend;
}

void CrashExchange::noteSent(const RequestIdentity& identity) {
  register_.noteSent(identity, reactor::steadyNow());
}

// Requests that were served lately are no suspects and are left out of the report.
void CrashExchange::onServerCrash(ServerCrash end) {
  const absl::Time now = reactor::steadyNow();
  std::erase_if(end.in_flight,
                [this, now](const auto& identity) { return register_.wasServed(identity, now); });
  handleCrash(end, true);
  queueReport(end);
}

void CrashExchange::noteServed(const RequestIdentity& identity) {
  handleCleared(identity, true);
}

Result<void> CrashExchange::receive(const NodeId& /*from*/, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, decodeCrashMessage(payload));
  for (const RequestIdentity& identity : message.cleared) {
    handleCleared(identity, false);
  }
  for (const ServerCrash& end : message.crashes) {
    handleCrash(end, false);
  }
  for (const forwarding::QuarantinedRequest& quarantined : message.quarantined) {
    handleQuarantined(quarantined);
  }
  return outcome::success();
}

void CrashExchange::handleCrash(const ServerCrash& end, bool is_own) {
  for (const RequestIdentity& identity : end.in_flight) {
    objectIfServed(identity);
  }
  const absl::Time now = reactor::steadyNow();
  if (register_.noteCrash(end, now)) {
    core_.timers.schedule(now + forwarding::CrashRegister::kEvidenceDelay,
                          [this, is_own] { settle(is_own); });
  }
}

// All gateways reach the same decision from the same evidence; the one that saw the last crash writes the
// record.
void CrashExchange::settle(bool writes_record) {
  for (const RequestIdentity& identity : register_.settle(reactor::steadyNow())) {
    logQuarantine(identity, writes_record ? "own_evidence" : "peers_evidence");
    if (writes_record) {
      record_.write(forwarding::printIdentity(identity), kBlamed);
    }
  }
}

void CrashExchange::handleCleared(const RequestIdentity& identity, bool is_own) {
  if (!register_.noteServed(identity, reactor::steadyNow())) {
    return;
  }
  core_.log.event("request_cleared", reactor::steadyNow())
      .with("same_as", forwarding::printIdentity(identity));
  if (is_own) {
    cleared_to_report_.insert(identity);
    timer_.wakeAt(reactor::steadyNow() + kBatchDelay);
  }
}

void CrashExchange::handleQuarantined(const forwarding::QuarantinedRequest& quarantined) {
  if (!objectIfServed(quarantined.identity) && register_.noteQuarantined(quarantined, reactor::steadyNow())) {
    logQuarantine(quarantined.identity, "told");
  }
}

void CrashExchange::logQuarantine(const RequestIdentity& identity, std::string_view by) {
  core_.log.event("request_blamed", reactor::steadyNow())
      .with("same_as", forwarding::printIdentity(identity))
      .with("ends", static_cast<int64_t>(register_.crashCount(identity)))
      .with("by", by);
}

bool CrashExchange::objectIfServed(const RequestIdentity& identity) {
  const bool was_served = register_.wasServed(identity, reactor::steadyNow());
  if (was_served) {
    cleared_to_report_.insert(identity);
    timer_.wakeAt(reactor::steadyNow() + kBatchDelay);
  }
  return was_served;
}

void CrashExchange::queueReport(const ServerCrash& end) {
  const bool is_repeated =
      std::any_of(end.in_flight.begin(), end.in_flight.end(),
                  [this](const auto& identity) { return register_.crashCount(identity) > 1; });
  const absl::Time due = reactor::steadyNow() + kBatchDelay;
  constexpr size_t most = kCrashMessageCapacity - kCrashFrameEntries;
  for (size_t begin = 0; begin < end.in_flight.size(); begin += most) {
    const size_t size = std::min(most, end.in_flight.size() - begin);
    const auto first = end.in_flight.begin() + static_cast<ptrdiff_t>(begin);
    ServerCrash part{end.incarnation, end.service, {first, first + static_cast<ptrdiff_t>(size)}};
    pending_reports_.push_back({std::move(part), reactor::steadyNow(), due, is_repeated ? kReportRounds : 1});
  }
  while (pending_reports_.size() > kMaxPendingReports) {
    pending_reports_.pop_front();
    core_.metrics.countUnreportedCrash();
  }
  timer_.wakeAt(due);
}

void CrashExchange::sendReports() {
  const absl::Time now = reactor::steadyNow();
  const auto has_due = [this, now] {
    return !cleared_to_report_.empty() ||
           std::any_of(pending_reports_.begin(), pending_reports_.end(),
                       [now](const PendingReport& report) { return report.due <= now; });
  };
  while (has_due() && budget_.tryTake(now)) {
    broadcast(takeDueReports(now));
  }
  absl::Time next = cleared_to_report_.empty() ? absl::InfiniteFuture() : now;
  for (const PendingReport& report : pending_reports_) {
    next = std::min(next, report.due);
  }
  if (next != absl::InfiniteFuture()) {
    timer_.wakeAt(std::max(next, now + budget_.interval()));
  }
}

CrashMessage CrashExchange::takeDueReports(absl::Time now) {
  CrashMessage message;
  size_t room = kCrashMessageCapacity;
  while (room > 0 && !cleared_to_report_.empty()) {
    message.cleared.push_back(*cleared_to_report_.begin());
    cleared_to_report_.erase(cleared_to_report_.begin());
    --room;
  }
  for (PendingReport& report : pending_reports_) {
    const size_t size = kCrashFrameEntries + report.end.in_flight.size();
    if (report.due <= now && size <= room) {
      message.crashes.push_back(report.end);
      message.crashes.back().ago = now - report.seen;
      room -= size;
      --report.rounds;
      report.due = now + kRoundInterval;
    }
  }
  std::erase_if(pending_reports_, [](const PendingReport& report) { return report.rounds == 0; });
  return message;
}

void CrashExchange::broadcast(const CrashMessage& message) {
  peers_.sendToAll(peer::PeerModule::kCrashes, encodeCrashMessage(message));
}

void CrashExchange::heartbeat() {
  const absl::Time now = reactor::steadyNow();
  register_.dropExpired(now);
  readRecordOnce();
  reportToRandomPeers();
  core_.timers.schedule(now + kHeartbeatInterval, [this] { heartbeat(); });
}

// Sends the state that a gateway needs after a start or an outage to kPeersPerHeartbeat random peers.
void CrashExchange::reportToRandomPeers() {
  CrashMessage message;
  message.quarantined = register_.quarantined(kCrashMessageCapacity / 2);
  const size_t room = (kCrashMessageCapacity - message.quarantined.size()) / (1 + kCrashFrameEntries);
  message.crashes = register_.unresolvedCrashes(room, reactor::steadyNow());
  if (!message.isEmpty()) {
    peers_.sendToRandom(kPeersPerHeartbeat, peer::PeerModule::kCrashes, encodeCrashMessage(message));
  }
}

void CrashExchange::readRecordOnce() {
  const bool begins = reads_store_() && !was_reading_;
  was_reading_ = was_reading_ || begins;
  if (begins) {
    // The record doesn't say whether the request had its trial; it is assumed to have had it.
    record_.read([this](const std::string& key, const std::string& /*value*/) {
      const auto identity = forwarding::parseIdentity(key);
      if (identity && !register_.isQuarantined(*identity)) {
        handleQuarantined({*identity, true});
      }
      return identity.has_value();
    });
  }
}

}  // namespace quincewick::gateway
