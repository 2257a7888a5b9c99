#include "gateway/part_exchange.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "peer/envelope.h"

namespace quincewick::gateway {
namespace {

using forwarding::AccusedParts;
using forwarding::CrashVerdict;
using forwarding::PartCarrier;
using forwarding::PartCrash;
using forwarding::PartKey;
using forwarding::PartQuarantine;
using forwarding::QuarantineChange;
using forwarding::QuarantinedParts;
using forwarding::ServedPart;
using peer::PeerModule;

// Messages within this time share a datagram.
constexpr absl::Duration kBatchDelay = absl::Milliseconds(20);
// What adds to a count or ends it is sent more than once, since datagrams get lost.
constexpr int kRepeatedRounds = 3;
constexpr absl::Duration kRoundInterval = absl::Milliseconds(300);
// More broadcasts than that mean that a rack or a zone fails and that no part causes the crashes.
constexpr double kBroadcastsPerSecond = 4;
constexpr double kMaxBroadcastBurst = 8;
constexpr size_t kMaxOutgoing = 128;
// A gateway that starts or comes back gets the peers' state within about a second.
constexpr absl::Duration kHeartbeatInterval = absl::Seconds(1);
constexpr size_t kPeersPerHeartbeat = 2;
constexpr size_t kMaxReportedQuarantines = 16;
constexpr size_t kMaxReportedParts = 64;
// A part whose soundness was proven within it needs no further proof.
constexpr absl::Duration kServedLately = absl::Seconds(1);
// A std::string, because g++ 12 warns of an overlap in assigned literals.
const std::string kCleared = "cleared";
// The record doesn't say when the crashes were. Any gateway that served one of the parts within it objects.
constexpr absl::Duration kAgeOfRecord = absl::Hours(24);

// The same message after some more time.
PartMessage aged(PartMessage message, absl::Duration time) {
  for (PartCrash& crash : message.crashes) {
    crash.ago += time;
  }
  for (AccusedParts& accused : message.accused) {
    accused.first_crash += time;
  }
  for (ServedPart& served : message.served) {
    served.ago += time;
  }
  for (QuarantinedParts& quarantined : message.quarantined) {
    quarantined.first_crash += time;
    quarantined.last_crash += time;
  }
  return message;
}

template <class Element>
void append(std::vector<Element>& to, const std::vector<Element>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

PartMessage joined(PartMessage first, const PartMessage& second) {
  append(first.crashes, second.crashes);
  append(first.accused, second.accused);
  append(first.served, second.served);
  append(first.quarantined, second.quarantined);
  return first;
}

std::string recordOf(uint64_t service) {
  return absl::StrCat(absl::Hex(service, absl::kZeroPad16));
}

}  // namespace

PartExchange::PartExchange(Core& core, PeerExchange& peers)
    : core_(core),
      peers_(peers),
      record_(core, kTable),
      budget_(kBroadcastsPerSecond, kMaxBroadcastBurst),
      timer_(core.timers, [this] { sendDue(); }) {}

void PartExchange::start(std::function<bool()> reads_store) {
  reads_store_ = std::move(reads_store);
  peers_.setMessageHandler(PeerModule::kCrashingParts, [this](const NodeId& from, std::string_view payload) {
    return receive(from, payload);
  });
  heartbeat();
}

CrashVerdict PartExchange::verdictOn(const PartCarrier& carrier) {
  const absl::Time now = reactor::steadyNow();
  if (!mayTakeTrial(carrier, now)) {
    return quarantine_.verdictOn(carrier, now);
  }
  for (const QuarantinedParts& quarantined : quarantine_.takeTrial(carrier, now)) {
    log("parts_tried_again", quarantined.parts, "own");
    queue({.quarantined = {quarantined}}, kRepeatedRounds);
  }
  return quarantine_.verdictOn(carrier, now);
}

// The first in rank takes it; any other gateway if that one gets no such request for a while.
bool PartExchange::mayTakeTrial(const PartCarrier& carrier, absl::Time now) const {
  return quarantine_.isTrialDue(carrier, true, now) &&
         quarantine_.isTrialDue(
             carrier, peers_.ranksFirst(forwarding::printParts(quarantine_.partsOnTrial(carrier))), now);
}

bool PartExchange::isRejected(const PartCarrier& carrier) const {
  return quarantine_.isRejected(carrier) && !mayTakeTrial(carrier, reactor::steadyNow());
}

bool PartExchange::wereServedLately(const std::vector<PartKey>& parts) const {
  const absl::Time since = reactor::steadyNow() - kServedLately;
  return std::all_of(parts.begin(), parts.end(),
                     [&](PartKey part) { return quarantine_.servedAt(part) > since; });
}

void PartExchange::onServerCrash(const PartCrash& crash) {
  handleCrash(crash, true);
  const bool is_repeated =
      std::any_of(crash.in_flight.begin(), crash.in_flight.end(), [this](const PartCarrier& carrier) {
        return std::any_of(carrier.parts.begin(), carrier.parts.end(),
                           [this](PartKey part) { return quarantine_.crashCount(part) > 1; });
      });
  for (const PartCrash& report : splitForDatagrams(crash)) {
    queue({.crashes = {report}}, is_repeated ? kRepeatedRounds : 1);
  }
}

void PartExchange::noteServed(uint64_t service, const std::vector<PartKey>& parts) {
  for (const QuarantineChange& change : quarantine_.noteServed(service, parts, reactor::steadyNow())) {
    log("parts_cleared", change.before, "own");
    record_.write(forwarding::printParts(change.before), kCleared);
    if (!change.after.empty()) {
      record_.write(forwarding::printParts(change.after), recordOf(change.service));
    }
    for (const PartKey part : change.before) {
      if (std::find(change.after.begin(), change.after.end(), part) == change.after.end()) {
        queue({.served = {{part, absl::ZeroDuration()}}}, kRepeatedRounds);
      }
    }
  }
}

Result<void> PartExchange::receive(const NodeId& from, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, decodePartMessage(payload));
  for (const ServedPart& served : message.served) {
    handleServed(served);
  }
  for (const PartCrash& crash : message.crashes) {
    handleCrash(crash, false);
  }
  PartMessage objections;
  for (const AccusedParts& accused : message.accused) {
    append(objections.served, quarantine_.objectionsTo(accused, reactor::steadyNow()));
    quarantine_.noteAccused(accused, reactor::steadyNow());
    scheduleSettle();
  }
  if (!objections.isEmpty()) {
    peers_.sendTo(from, PeerModule::kCrashingParts, encodePartMessage(objections));
  }
  for (const QuarantinedParts& quarantined : message.quarantined) {
    handleQuarantined(quarantined);
  }
  return outcome::success();
}

void PartExchange::handleCrash(const PartCrash& crash, bool is_own) {
  accuse(quarantine_.noteCrash(crash, is_own, reactor::steadyNow()));
}

void PartExchange::handleServed(const ServedPart& served) {
  for (const QuarantineChange& change : quarantine_.noteServedElsewhere(served, reactor::steadyNow())) {
    log("parts_cleared", change.before, "told");
  }
}

void PartExchange::handleQuarantined(const QuarantinedParts& quarantined) {
  const absl::Time now = reactor::steadyNow();
  for (const ServedPart& served : quarantine_.objectionsTo(quarantined, now)) {
    queue({.served = {served}}, 1);
  }
  if (quarantine_.noteQuarantined(quarantined, now)) {
    log("parts_blamed", quarantined.parts, "told");
  }
}

// Asks for objections and decides after kEvidenceDelay.
void PartExchange::accuse(const std::vector<AccusedParts>& accused) {
  if (accused.empty()) {
    return;
  }
  for (const AccusedParts& parts : accused) {
    log("parts_accused", parts.parts, "own");
    peers_.sendToAll(PeerModule::kCrashingParts, encodePartMessage({.accused = {parts}}));
  }
  scheduleSettle();
}

void PartExchange::scheduleSettle() {
  core_.timers.schedule(reactor::steadyNow() + PartQuarantine::kEvidenceDelay, [this] { settle(); });
}

void PartExchange::settle() {
  std::vector<AccusedParts> accused;
  for (const QuarantinedParts& quarantined : quarantine_.settle(reactor::steadyNow(), accused)) {
    log("parts_blamed", quarantined.parts, "own_evidence");
    record_.write(forwarding::printParts(quarantined.parts), recordOf(quarantined.service));
    queue({.quarantined = {quarantined}}, kRepeatedRounds);
  }
  accuse(accused);
}

void PartExchange::log(std::string_view event, const std::vector<PartKey>& parts, std::string_view by) {
  core_.log.event(event, reactor::steadyNow())
      .with("parts", forwarding::printParts(parts))
      .with("ends", static_cast<int64_t>(parts.empty() ? 0 : quarantine_.crashCount(parts.front())))
      .with("by", by);
}

void PartExchange::queue(PartMessage message, int rounds) {
  const absl::Time now = reactor::steadyNow();
  outgoing_.push_back({std::move(message), now, now + kBatchDelay, rounds});
  if (outgoing_.size() > kMaxOutgoing) {
    const auto crash = std::find_if(outgoing_.begin(), outgoing_.end(), [](const Outgoing& outgoing) {
      return !outgoing.message.crashes.empty();
    });
    outgoing_.erase(crash == outgoing_.end() ? outgoing_.begin() : crash);
    core_.metrics.countUnreportedCrash();
  }
  timer_.wakeAt(now + kBatchDelay);
}

void PartExchange::sendDue() {
  const absl::Time now = reactor::steadyNow();
  if (!budget_.tryTake(now)) {
    timer_.wakeAt(now + budget_.interval());
    return;
  }
  for (const PartMessage& message : takeDue(now)) {
    peers_.sendToAll(PeerModule::kCrashingParts, encodePartMessage(message));
  }
  for (const Outgoing& outgoing : outgoing_) {
    timer_.wakeAt(outgoing.due);
  }
}

std::vector<PartMessage> PartExchange::takeDue(absl::Time now) {
  std::vector<PartMessage> messages;
  for (Outgoing& outgoing : outgoing_) {
    if (outgoing.due > now) {
      continue;
    }
    PartMessage message = aged(outgoing.message, now - outgoing.since);
    if (!messages.empty() &&
        encodedSize(messages.back()) + encodedSize(message) <= peer::kMaximumDatagramPayload) {
      messages.back() = joined(std::move(messages.back()), message);
    } else {
      messages.push_back(std::move(message));
    }
    --outgoing.rounds;
    outgoing.due = now + kRoundInterval;
  }
  std::erase_if(outgoing_, [](const Outgoing& outgoing) { return outgoing.rounds == 0; });
  return messages;
}

void PartExchange::heartbeat() {
  const absl::Time now = reactor::steadyNow();
  quarantine_.dropExpired(now);
  readRecordOnce();
  const PartMessage message = stateForPeers(now);
  if (!message.isEmpty()) {
    peers_.sendToRandom(kPeersPerHeartbeat, PeerModule::kCrashingParts, encodePartMessage(message));
  }
  core_.timers.schedule(now + kHeartbeatInterval, [this] { heartbeat(); });
}

// As much as fits into a datagram, quarantines first.
PartMessage PartExchange::stateForPeers(absl::Time now) const {
  PartMessage state;
  const auto add_if_it_fits = [&state](const PartMessage& more) {
    PartMessage both = joined(state, more);
    if (encodedSize(both) <= peer::kMaximumDatagramPayload) {
      state = std::move(both);
    }
  };
  for (const QuarantinedParts& quarantined : quarantine_.quarantined(kMaxReportedQuarantines, now)) {
    add_if_it_fits({.quarantined = {quarantined}});
  }
  for (const PartCrash& crash : quarantine_.unresolvedCrashes(kMaxReportedParts, now)) {
    add_if_it_fits({.crashes = {crash}});
  }
  return state;
}

void PartExchange::readRecordOnce() {
  const bool begins = reads_store_() && !was_reading_;
  was_reading_ = was_reading_ || begins;
  if (!begins) {
    return;
  }
  record_.read([this](const std::string& key, const std::string& value) {
    const std::vector<PartKey> parts = forwarding::parseParts(key);
    uint64_t service = 0;
    const bool is_cleared = value == kCleared;
    if (parts.empty() || (!is_cleared && !absl::SimpleHexAtoi(value, &service))) {
      return false;
    }
    if (!is_cleared) {
      // Nor does it say how many trials there were: one counts as made.
      constexpr uint64_t unknown_trial = 0;
      handleQuarantined({parts, service, kAgeOfRecord, kAgeOfRecord, {unknown_trial}, false});
    }
    return true;
  });
}

}  // namespace quincewick::gateway
