#include "forwarding/crash_register.h"

#include <algorithm>
#include <map>
#include <utility>

namespace quincewick::forwarding {
namespace {

// Gateways report one crash within milliseconds of each other; a server needs seconds to restart.
constexpr absl::Duration kSameCrashWindow = absl::Seconds(1);
// A client that retries within this time meets what is known of its request.
constexpr absl::Duration kCrashRetention = absl::Hours(1);
constexpr absl::Duration kUnrelatedCrashWindow = absl::Minutes(1);  // before a request's first crash
constexpr absl::Duration kCrashReportWindow = absl::Minutes(1);
constexpr absl::Duration kQuarantineRetention = absl::Hours(24);  // after the request last came
constexpr absl::Duration kServedRetention = absl::Minutes(1);
// Bounds on memory, whatever clients send: about 0.4 MB including the hash tables.
constexpr size_t kMaxInFlightEntries = 4096;
constexpr size_t kMaxQuarantined = 1024;
constexpr size_t kMaxCrashes = 1024;
constexpr size_t kMaxInFlightPerCrash = 256;

bool contains(const std::vector<RequestIdentity>& requests, const RequestIdentity& identity) {
  return std::find(requests.begin(), requests.end(), identity) != requests.end();
}

}  // namespace

// A later crash of the same identity belongs to a new incarnation that the server list doesn't show yet.
CrashRegister::CrashNumber CrashRegister::crashNumberFor(const ServerCrash& crash, absl::Time at) {
  const auto last = last_crash_of_incarnation_.find(crash.incarnation);
  if (last != last_crash_of_incarnation_.end()) {
    if (at - crashes_.at(last->second).at < kSameCrashWindow) {
      return last->second;
    }
  }
  const CrashNumber number = ++last_number_;
  crashes_[number] = {crash.incarnation, crash.service, at, {}};
  crash_order_.push_back(number);
  last_crash_of_incarnation_[crash.incarnation] = number;
  return number;
}

bool CrashRegister::noteCrash(const ServerCrash& crash, absl::Time now) {
  const CrashNumber number = crashNumberFor(crash, now - std::max(crash.ago, absl::ZeroDuration()));
  std::vector<RequestIdentity>& in_flight = crashes_.at(number).in_flight;
  for (const RequestIdentity& identity : crash.in_flight) {
    if (in_flight.size() >= kMaxInFlightPerCrash || contains(in_flight, identity) ||
        wasServed(identity, now)) {
      continue;
    }
    in_flight.push_back(identity);
    suspects_[identity].push_back(number);
    ++in_flight_entries_;
  }
  bool is_quarantine_pending = false;
  for (const RequestIdentity& identity : in_flight) {
    if (!quarantined_.contains(identity) && shouldQuarantine(identity)) {
      addQuarantine(identity, {now, now});
      is_quarantine_pending = true;
    }
  }
  while (in_flight_entries_ > kMaxInFlightEntries || crashes_.size() > kMaxCrashes) {
    dropOldestCrash();
  }
  return is_quarantine_pending;
}

std::vector<RequestIdentity> CrashRegister::settle(absl::Time now) {
  std::vector<RequestIdentity> confirmed;
  absl::erase_if(quarantined_, [this, now, &confirmed](auto& entry) {
    auto& [identity, quarantine] = entry;
    if (quarantine.is_settled || now - quarantine.since < kEvidenceDelay) {
      return false;
    }
    quarantine.is_settled = shouldQuarantine(identity);
    if (quarantine.is_settled) {
      confirmed.push_back(identity);
      // The site allows no trial after this many crashes.
      quarantine.had_trial = crashCount(identity) > kCrashesToQuarantineAmidUnrelated;
    }
    return !quarantine.is_settled;
  });
  return confirmed;
}

size_t CrashRegister::crashCount(const RequestIdentity& identity) const {
  const auto found = suspects_.find(identity);
  return found == suspects_.end() ? 0 : found->second.size();
}

size_t CrashRegister::maxCrashesOfOthers(const Crash& crash, const RequestIdentity& identity) const {
  size_t worst = 0;
  for (const RequestIdentity& other : crash.in_flight) {
    if (other != identity) {
      worst = std::max(worst, crashCount(other));
    }
  }
  return worst;
}

bool CrashRegister::shouldQuarantine(const RequestIdentity& identity) const {
  const auto found = suspects_.find(identity);
  if (found == suspects_.end() || found->second.size() < kCrashesToQuarantine) {
    return false;
  }
  const std::vector<CrashNumber>& crashes = found->second;
  size_t unexplained = 0;
  size_t contested = 0;
  for (const CrashNumber number : crashes) {
    const size_t worst = maxCrashesOfOthers(crashes_.at(number), identity);
    unexplained += worst <= crashes.size() ? 1 : 0;
    contested += worst == crashes.size() ? 1 : 0;
  }
  const size_t needed = crashesNeeded(identity, contested == unexplained);
  // Two culprits may have been in flight at some of these crashes.
  const bool is_one_of_several_culprits = unexplained >= kCrashesToIsolate && crashes.size() > needed;
  return unexplained >= needed || is_one_of_several_culprits;
}

size_t CrashRegister::crashesNeeded(const RequestIdentity& identity, bool is_contested) const {
  const std::vector<CrashNumber>& crashes = suspects_.at(identity);
  if (unrelatedCrashes(identity, crashes) >= kMinUnrelatedCrashes) {
    return kCrashesToQuarantineAmidUnrelated;
  }
  const absl::Time first = crashes_.at(crashes.front()).at;
  const bool is_burst = crashes_.at(crashes.back()).at - first < kBurstWindow;
  const bool is_history_short = first - kUnrelatedCrashWindow < started_;
  return is_contested || is_burst || is_history_short ? kCrashesToQuarantineIfContested
                                                      : kCrashesToQuarantine;
}

size_t CrashRegister::unrelatedCrashes(const RequestIdentity& identity,
                                       const std::vector<CrashNumber>& crashes) const {
  const Crash& first = crashes_.at(crashes.front());
  size_t count = 0;
  for (const auto& [number, crash] : crashes_) {
    const bool is_recent = crash.service == first.service && crash.at >= first.at - kUnrelatedCrashWindow;
    const bool has_culprit = maxCrashesOfOthers(crash, identity) > 1;
    count += is_recent && !has_culprit && !contains(crash.in_flight, identity) ? 1 : 0;
  }
  return count;
}

bool CrashRegister::noteServed(const RequestIdentity& identity, absl::Time now) {
  servedSlot(identity) = {identity, now};
  const bool had_evidence = suspects_.contains(identity) || quarantined_.contains(identity);
  if (had_evidence) {
    dropEvidence(identity);
    quarantined_.erase(identity);
  }
  return had_evidence;
}

bool CrashRegister::wasServed(const RequestIdentity& identity, absl::Time now) const {
  const Served& served = servedSlot(identity);
  return served.identity == identity && now - served.at < kServedRetention;
}

void CrashRegister::dropEvidence(const RequestIdentity& identity) {
  const auto found = suspects_.find(identity);
  if (found == suspects_.end()) {
    return;
  }
  for (const CrashNumber number : found->second) {
    in_flight_entries_ -= std::erase(crashes_.at(number).in_flight, identity);
  }
  suspects_.erase(found);
}

bool CrashRegister::noteQuarantined(const QuarantinedRequest& request, absl::Time now) {
  const auto found = quarantined_.find(request.identity);
  const bool is_known = found != quarantined_.end() && found->second.is_settled;
  if (is_known) {
    found->second.had_trial = found->second.had_trial || request.had_trial;
  }
  if (wasServed(request.identity, now) || is_known) {
    return false;
  }
  addQuarantine(request.identity, {now, now, true, request.had_trial});
  return true;
}

bool CrashRegister::isTrialDue(const RequestIdentity& identity, absl::Time now) const {
  const auto found = quarantined_.find(identity);
  return found != quarantined_.end() && found->second.is_settled && !found->second.had_trial && !isolated_ &&
         now - found->second.since >= kTrialDelay;
}

void CrashRegister::takeTrial(const RequestIdentity& identity, absl::Time now) {
  Quarantine& quarantine = quarantined_.at(identity);
  quarantine.had_trial = true;
  quarantine.may_be_sent = true;
  isolated_ = {identity, now};
}

void CrashRegister::addQuarantine(const RequestIdentity& identity, const Quarantine& quarantine) {
  if (quarantined_.size() >= kMaxQuarantined) {
    quarantined_.erase(
        std::min_element(quarantined_.begin(), quarantined_.end(), [](const auto& left, const auto& right) {
          return left.second.last_requested < right.second.last_requested;
        }));
  }
  quarantined_[identity] = quarantine;
}

void CrashRegister::noteSent(const RequestIdentity& identity, absl::Time now) {
  if (const auto found = quarantined_.find(identity); found != quarantined_.end()) {
    found->second.may_be_sent = false;
  }
  if (crashCount(identity) >= kCrashesToIsolate) {
    isolated_ = {identity, now};
  }
}

void CrashRegister::noteOver(const RequestIdentity& identity) {
  if (isolated_ && isolated_->identity == identity) {
    isolated_.reset();
  }
}

CrashVerdict CrashRegister::verdictOn(const RequestIdentity& identity, absl::Time now) {
  const auto found = quarantined_.find(identity);
  if (found == quarantined_.end()) {
    const bool is_other_isolated = isolated_ && now - isolated_->since < kMaxIsolationTime;
    return is_other_isolated && crashCount(identity) >= kCrashesToIsolate ? CrashVerdict::kWait
                                                                          : CrashVerdict::kSend;
  }
  found->second.last_requested = now;
  if (found->second.may_be_sent) {
    return CrashVerdict::kSend;
  }
  return found->second.is_settled ? CrashVerdict::kReject : CrashVerdict::kWait;
}

std::vector<QuarantinedRequest> CrashRegister::quarantined(size_t limit) const {
  std::vector<std::pair<absl::Time, RequestIdentity>> all;
  all.reserve(quarantined_.size());
  for (const auto& [identity, quarantine] : quarantined_) {
    if (quarantine.is_settled) {
      all.emplace_back(quarantine.last_requested, identity);
    }
  }
  std::sort(all.rbegin(), all.rend());
  all.resize(std::min(all.size(), limit));
  std::vector<QuarantinedRequest> result;
  result.reserve(all.size());
  for (const auto& [last_requested, identity] : all) {
    result.push_back({identity, quarantined_.at(identity).had_trial});
  }
  return result;
}

std::vector<RequestIdentity> CrashRegister::suspectsByCrashCount(absl::Time now) const {
  std::vector<std::pair<size_t, RequestIdentity>> worst;
  for (const auto& [identity, crashes] : suspects_) {
    const bool is_recent = now - crashes_.at(crashes.back()).at <= kCrashReportWindow;
    if (crashes.size() >= kCrashesToIsolate && is_recent && !quarantined_.contains(identity)) {
      worst.emplace_back(crashes.size(), identity);
    }
  }
  std::sort(worst.rbegin(), worst.rend());
  std::vector<RequestIdentity> result;
  result.reserve(worst.size());
  for (const auto& [count, identity] : worst) {
    result.push_back(identity);
  }
  return result;
}

std::vector<ServerCrash> CrashRegister::unresolvedCrashes(size_t limit, absl::Time now) const {
  std::map<CrashNumber, ServerCrash> open;
  size_t entries = 0;
  for (const RequestIdentity& identity : suspectsByCrashCount(now)) {
    const std::vector<CrashNumber>& crashes = suspects_.at(identity);
    entries += crashes.size();
    if (entries > limit) {
      break;
    }
    for (const CrashNumber number : crashes) {
      const Crash& crash = crashes_.at(number);
      ServerCrash& report = open[number];
      report.incarnation = crash.incarnation;
      report.service = crash.service;
      report.ago = now - crash.at;
      report.in_flight.push_back(identity);
    }
  }
  std::vector<ServerCrash> result;
  result.reserve(open.size());
  for (auto& [number, crash] : open) {
    result.push_back(std::move(crash));
  }
  return result;
}

void CrashRegister::dropOldestCrash() {
  const CrashNumber number = crash_order_.front();
  crash_order_.pop_front();
  const Crash& crash = crashes_.at(number);
  for (const RequestIdentity& identity : crash.in_flight) {
    std::vector<CrashNumber>& crashes = suspects_.at(identity);
    std::erase(crashes, number);
    if (crashes.empty()) {
      suspects_.erase(identity);
    }
  }
  in_flight_entries_ -= crash.in_flight.size();
  if (last_crash_of_incarnation_.at(crash.incarnation) == number) {
    last_crash_of_incarnation_.erase(crash.incarnation);
  }
  crashes_.erase(number);
}

void CrashRegister::dropExpired(absl::Time now) {
  while (!crash_order_.empty() && now - crashes_.at(crash_order_.front()).at > kCrashRetention) {
    dropOldestCrash();
  }
  absl::erase_if(quarantined_, [now](const auto& entry) {
    return now - entry.second.last_requested > kQuarantineRetention;
  });
}

}  // namespace quincewick::forwarding
