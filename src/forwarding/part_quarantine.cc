#include "forwarding/part_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quincewick::forwarding {
namespace {

// Gateways report one crash within milliseconds of each other; a server needs seconds to restart.
constexpr absl::Duration kSameCrashWindow = absl::Seconds(1);
constexpr absl::Duration kCrashRetention = absl::Hours(1);
constexpr absl::Duration kCrashReportWindow = absl::Minutes(1);
constexpr absl::Duration kQuarantineRetention = absl::Hours(24);  // after a request with the parts last came
// Time in which the request that was chosen for a trial is sent. After it another one may be chosen.
constexpr absl::Duration kTrialSendTime = absl::Seconds(1);
constexpr size_t kCrashesAllowed = 5;
// Bounds on memory, whatever clients send.
constexpr size_t kMaxInFlightParts = 8192;
constexpr size_t kMaxCrashes = 1024;
constexpr size_t kMaxInFlightPerCrash = 256;
constexpr size_t kMaxQuarantined = 256;
constexpr size_t kMaxAccusations = 64;

using Parts = std::vector<PartKey>;

bool contains(const Parts& parts, PartKey part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool containsAll(const Parts& parts, const Parts& wanted) {
  return std::all_of(wanted.begin(), wanted.end(), [&parts](PartKey part) { return contains(parts, part); });
}

}  // namespace

// A later crash of the same identity belongs to a new incarnation that the server list doesn't show yet.
PartQuarantine::CrashNumber PartQuarantine::crashNumberFor(const PartCrash& crash, absl::Time at) {
  const auto last = last_crash_of_incarnation_.find(crash.incarnation);
  if (last != last_crash_of_incarnation_.end() && at - crashes_.at(last->second).at < kSameCrashWindow) {
    return last->second;
  }
  const CrashNumber number = ++last_number_;
  crashes_[number] = {crash.incarnation, crash.service, at, {}};
  crash_order_.push_back(number);
  last_crash_of_incarnation_[crash.incarnation] = number;
  return number;
}

std::vector<AccusedParts> PartQuarantine::noteCrash(const PartCrash& crash, bool is_own, absl::Time now) {
  const CrashNumber number = crashNumberFor(crash, now - std::max(crash.ago, absl::ZeroDuration()));
  for (const PartCarrier& carrier : crash.in_flight) {
    addCarrier(number, carrier, is_own);
  }
  Parts in_flight;
  for (const PartCarrier& carrier : crashes_.at(number).in_flight) {
    in_flight.insert(in_flight.end(), carrier.parts.begin(), carrier.parts.end());
  }
  std::vector<AccusedParts> accused;
  review(in_flight, now, accused);
  while (in_flight_parts_ > kMaxInFlightParts || crashes_.size() > kMaxCrashes) {
    dropOldestCrash();
  }
  return accused;
}

void PartQuarantine::addCarrier(CrashNumber number, const PartCarrier& carrier, bool is_own) {
  Crash& crash = crashes_.at(number);
  auto kept = std::find_if(crash.in_flight.begin(), crash.in_flight.end(),
                           [&carrier](const PartCarrier& other) { return other.request == carrier.request; });
  if (kept == crash.in_flight.end()) {
    if (crash.in_flight.size() >= kMaxInFlightPerCrash) {
      return;
    }
    kept = crash.in_flight.insert(kept, {carrier.request, {}});
  }
  for (const PartKey part : carrier.parts) {
    if (servedAt(part) >= crash.at || contains(kept->parts, part)) {
      continue;
    }
    kept->parts.push_back(part);
    ++in_flight_parts_;
    Suspect& suspect = suspects_[part];
    suspect.is_own = suspect.is_own || is_own;
    if (!std::binary_search(suspect.crashes.begin(), suspect.crashes.end(), number)) {
      suspect.crashes.insert(std::upper_bound(suspect.crashes.begin(), suspect.crashes.end(), number),
                             number);
    }
  }
}

void PartQuarantine::review(const Parts& parts, absl::Time now, std::vector<AccusedParts>& accused) {
  for (const PartKey part : parts) {
    const auto suspect = suspects_.find(part);
    if (suspect == suspects_.end() || !suspect->second.is_own) {
      continue;
    }
    const Parts group = assess(part);
    const bool is_accused =
        std::any_of(accusations_.begin(), accusations_.end(), [&group](const Accusation& accusation) {
          return accusation.part && accusation.accused.parts == group;
        });
    if (group.empty() || is_accused || isCovered(group)) {
      continue;
    }
    accusations_.push_back({part, {group, now - crashTimes(part).front()}, now});
    accused.push_back(accusations_.back().accused);
  }
}

std::vector<PartKey> PartQuarantine::assess(PartKey part) const {
  const auto suspect = suspects_.find(part);
  if (suspect == suspects_.end() || suspect->second.crashes.size() < kCrashesToQuarantine) {
    return {};
  }
  const std::vector<CrashNumber>& crashes = suspect->second.crashes;
  std::vector<CrashNumber> unexplained;
  std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(unexplained),
               [&](CrashNumber number) { return !isExplained(crashes_.at(number), part); });
  const size_t moments = countMoments(unexplained, part);
  const bool is_one_of_several =
      countMoments(crashes, part) >= kCrashesAmongSeveralCauses && moments >= kUnexplainedAmongSeveralCauses;
  const bool is_cause = moments >= kCrashesToQuarantine || is_one_of_several;
  const std::vector<absl::Time> all = crashTimes(part);
  if (!is_cause || all.back() - all.front() < kMinCrashSpan || isOfOneRequest(part)) {
    return {};
  }
  return partsAlwaysWith(part);
}

size_t PartQuarantine::countMoments(std::vector<CrashNumber> crashes, PartKey part) const {
  std::sort(crashes.begin(), crashes.end(), [this](CrashNumber left, CrashNumber right) {
    return crashes_.at(left).at < crashes_.at(right).at;
  });
  size_t count = 0;
  const Crash* last = nullptr;
  for (const CrashNumber number : crashes) {
    const Crash& crash = crashes_.at(number);
    if (last == nullptr || crash.at - last->at > kSameMoment || shareRequest(*last, crash, part)) {
      ++count;
      last = &crash;
    }
  }
  return count;
}

bool PartQuarantine::shareRequest(const Crash& first, const Crash& second, PartKey part) const {
  return std::any_of(first.in_flight.begin(), first.in_flight.end(), [&](const PartCarrier& carrier) {
    return contains(carrier.parts, part) &&
           std::any_of(second.in_flight.begin(), second.in_flight.end(),
                       [&carrier](const PartCarrier& other) { return other.request == carrier.request; });
  });
}

bool PartQuarantine::wasServedBefore(PartKey part) const {
  const auto suspect = suspects_.find(part);
  return suspect != suspects_.end() &&
         crashes_.at(suspect->second.crashes.front()).at - servedAt(part) < kServedBefore;
}

// A part that was served shortly before its crashes is likely to be sound: no number of crashes makes it
// worse than one that wasn't.
bool PartQuarantine::isWorse(PartKey other, PartKey part) const {
  const bool was_other_served = wasServedBefore(other);
  const bool was_part_served = wasServedBefore(part);
  if (was_other_served != was_part_served) {
    return was_part_served && crashCount(other) >= kCrashesOfUnserved;
  }
  return crashCount(other) > crashCount(part);
}

bool PartQuarantine::isExplained(const Crash& crash, PartKey part) const {
  return std::any_of(crash.in_flight.begin(), crash.in_flight.end(), [&](const PartCarrier& carrier) {
    const bool has_worse = std::any_of(carrier.parts.begin(), carrier.parts.end(),
                                       [&](PartKey other) { return other != part && isWorse(other, part); });
    const bool has_quarantined =
        std::any_of(quarantined_.begin(), quarantined_.end(), [&](const Quarantine& quarantine) {
          return quarantine.parts != Parts{part} && containsAll(carrier.parts, quarantine.parts);
        });
    return has_worse || has_quarantined;
  });
}

// Such a request is for CrashRegister to judge as a whole.
bool PartQuarantine::isOfOneRequest(PartKey part) const {
  const std::vector<CrashNumber>& crashes = suspects_.at(part).crashes;
  const std::vector<PartCarrier>& first = crashes_.at(crashes.front()).in_flight;
  return std::any_of(first.begin(), first.end(), [&](const PartCarrier& carrier) {
    return contains(carrier.parts, part) &&
           std::all_of(crashes.begin(), crashes.end(), [&](CrashNumber number) {
             const std::vector<PartCarrier>& others = crashes_.at(number).in_flight;
             return std::any_of(others.begin(), others.end(), [&carrier](const PartCarrier& other) {
               return other.request == carrier.request;
             });
           });
  });
}

std::vector<PartKey> PartQuarantine::partsAlwaysWith(PartKey part) const {
  std::optional<Parts> common;
  for (const CrashNumber number : suspects_.at(part).crashes) {
    Parts together;
    for (const PartCarrier& carrier : crashes_.at(number).in_flight) {
      if (contains(carrier.parts, part)) {
        together.insert(together.end(), carrier.parts.begin(), carrier.parts.end());
      }
    }
    if (!common) {
      common = together;
    }
    std::erase_if(*common, [&together](PartKey other) { return !contains(together, other); });
  }
  std::sort(common->begin(), common->end());
  common->erase(std::unique(common->begin(), common->end()), common->end());
  while (common->size() > kMaxSharedParts) {
    common->erase(common->front() == part ? common->begin() + 1 : common->begin());
  }
  return *common;
}

bool PartQuarantine::isCovered(const Parts& parts) const {
  return std::any_of(quarantined_.begin(), quarantined_.end(),
                     [&parts](const Quarantine& quarantine) { return containsAll(parts, quarantine.parts); });
}

std::vector<absl::Time> PartQuarantine::crashTimes(PartKey part) const {
  std::vector<absl::Time> times;
  for (const CrashNumber number : suspects_.at(part).crashes) {
    times.push_back(crashes_.at(number).at);
  }
  std::sort(times.begin(), times.end());
  return times;
}

size_t PartQuarantine::crashCount(PartKey part) const {
  const auto found = suspects_.find(part);
  return found == suspects_.end() ? 0 : found->second.crashes.size();
}

std::vector<QuarantineChange> PartQuarantine::noteServed(uint64_t service, const Parts& parts,
                                                         absl::Time now) {
  last_served_[service] = now;
  for (const PartKey part : parts) {
    dropEvidence(part, now);
  }
  return release(parts, now);
}

std::vector<QuarantineChange> PartQuarantine::noteServedElsewhere(const ServedPart& served, absl::Time now) {
  const absl::Time at = now - std::max(served.ago, absl::ZeroDuration());
  dropEvidence(served.part, at);
  return release({served.part}, at);
}

// Drops the evidence against the part until it was served.
void PartQuarantine::dropEvidence(PartKey part, absl::Time served) {
  Served& slot = servedSlot(part);
  if (slot.part != part || slot.at < served) {
    slot = {part, served};
  }
  const auto suspect = suspects_.find(part);
  if (suspect == suspects_.end()) {
    return;
  }
  std::erase_if(suspect->second.crashes, [&](CrashNumber number) {
    Crash& crash = crashes_.at(number);
    if (crash.at > served) {
      return false;
    }
    for (PartCarrier& carrier : crash.in_flight) {
      in_flight_parts_ -= std::erase(carrier.parts, part);
    }
    return true;
  });
  if (suspect->second.crashes.empty()) {
    suspects_.erase(suspect);
  }
}

std::vector<QuarantineChange> PartQuarantine::release(const Parts& parts, absl::Time served) {
  std::vector<QuarantineChange> changes;
  for (Quarantine& quarantine : quarantined_) {
    const Parts before = quarantine.parts;
    if (quarantine.last_crash <= served) {
      std::erase_if(quarantine.parts, [&parts](PartKey part) { return contains(parts, part); });
    }
    if (quarantine.parts.size() != before.size()) {
      changes.push_back({before, quarantine.parts, quarantine.service});
    }
  }
  std::erase_if(quarantined_, [](const Quarantine& quarantine) { return quarantine.parts.empty(); });
  return changes;
}

absl::Time PartQuarantine::servedAt(PartKey part) const {
  const Served& served = served_[part.value() % served_.size()];
  return served.part == part ? served.at : absl::InfinitePast();
}

std::vector<ServedPart> PartQuarantine::servedSince(const Parts& parts, absl::Time since,
                                                    absl::Time now) const {
  std::vector<ServedPart> served;
  for (const PartKey part : parts) {
    if (servedAt(part) > since) {
      served.push_back({part, now - servedAt(part)});
    }
  }
  return served;
}

std::vector<ServedPart> PartQuarantine::objectionsTo(const AccusedParts& accused, absl::Time now) const {
  return servedSince(accused.parts, now - accused.first_crash - kServedBefore, now);
}

std::vector<ServedPart> PartQuarantine::objectionsTo(const QuarantinedParts& quarantined,
                                                     absl::Time now) const {
  return servedSince(quarantined.parts, now - quarantined.last_crash, now);
}

void PartQuarantine::noteAccused(const AccusedParts& accused, absl::Time now) {
  const bool is_refuted = !servedSince(accused.parts, now - accused.first_crash, now).empty();
  if (!is_refuted && accusations_.size() < kMaxAccusations) {
    accusations_.push_back({std::nullopt, accused, now});
  }
}

std::vector<QuarantinedParts> PartQuarantine::settle(absl::Time now, std::vector<AccusedParts>& accused) {
  std::vector<Accusation> due;
  std::erase_if(accusations_, [&due, now](const Accusation& accusation) {
    const bool is_due = now - accusation.since >= kEvidenceDelay;
    if (is_due) {
      due.push_back(accusation);
    }
    return is_due;
  });
  std::vector<QuarantinedParts> confirmed;
  bool is_any_cleared = false;
  for (const Accusation& accusation : due) {
    if (!accusation.part) {
      continue;
    }
    const PartKey part = *accusation.part;
    const Parts group = assess(part);
    is_any_cleared = is_any_cleared || group.empty();
    if (group.empty() || isCovered(group)) {
      continue;
    }
    const std::vector<absl::Time> times = crashTimes(part);
    const size_t further = std::max(times.size(), kCrashesAllowed) - kCrashesAllowed;
    const uint64_t service = crashes_.at(suspects_.at(part).crashes.front()).service;
    Quarantine quarantine;
    quarantine.parts = group;
    quarantine.service = service;
    quarantine.since = now;
    quarantine.first_crash = times.front();
    quarantine.last_crash = times.back();
    quarantine.last_requested = now;
    quarantine.trials = static_cast<uint32_t>(std::min<size_t>(further, kMaxTrials));
    confirmed.push_back(reportOf(quarantine, now));
    addQuarantine(std::move(quarantine));
  }
  if (is_any_cleared) {
    Parts suspects;
    for (const auto& [part, suspect] : suspects_) {
      suspects.push_back(part);
    }
    review(suspects, now, accused);
  }
  return confirmed;
}

QuarantinedParts PartQuarantine::reportOf(const Quarantine& quarantine, absl::Time now) {
  return {quarantine.parts, quarantine.service, now - quarantine.first_crash, now - quarantine.last_crash,
          quarantine.trials};
}

bool PartQuarantine::noteQuarantined(const QuarantinedParts& quarantined, absl::Time now) {
  const auto known =
      std::find_if(quarantined_.begin(), quarantined_.end(),
                   [&](const Quarantine& quarantine) { return quarantine.parts == quarantined.parts; });
  if (known != quarantined_.end()) {
    known->trials = std::max(known->trials, quarantined.trials);
    known->last_crash = std::max(known->last_crash, now - quarantined.last_crash);
    return false;
  }
  Quarantine quarantine;
  quarantine.parts = quarantined.parts;
  for (const ServedPart& served : objectionsTo(quarantined, now)) {
    std::erase(quarantine.parts, served.part);
  }
  if (quarantine.parts.empty() || isCovered(quarantine.parts)) {
    return false;
  }
  quarantine.service = quarantined.service;
  quarantine.since = now;
  quarantine.first_crash = now - quarantined.first_crash;
  quarantine.last_crash = now - quarantined.last_crash;
  quarantine.last_requested = now;
  quarantine.trials = quarantined.trials;
  addQuarantine(std::move(quarantine));
  return true;
}

// Takes the place of quarantines of more parts, which it covers.
void PartQuarantine::addQuarantine(Quarantine quarantine) {
  std::erase_if(quarantined_, [&quarantine](const Quarantine& other) {
    return containsAll(other.parts, quarantine.parts);
  });
  if (quarantined_.size() >= kMaxQuarantined) {
    quarantined_.erase(std::min_element(quarantined_.begin(), quarantined_.end(),
                                        [](const Quarantine& left, const Quarantine& right) {
                                          return left.last_requested < right.last_requested;
                                        }));
  }
  quarantined_.push_back(std::move(quarantine));
}

bool PartQuarantine::isSuspect(const PartCarrier& carrier) const {
  return std::any_of(carrier.parts.begin(), carrier.parts.end(),
                     [this](PartKey part) { return crashCount(part) >= kCrashesOfSuspect; });
}

bool PartQuarantine::isRejected(const PartCarrier& carrier) const {
  return std::any_of(quarantined_.begin(), quarantined_.end(), [&carrier](const Quarantine& quarantine) {
    return quarantine.trial != carrier.request && containsAll(carrier.parts, quarantine.parts);
  });
}

CrashVerdict PartQuarantine::verdictOn(const PartCarrier& carrier, absl::Time now) {
  for (Quarantine& quarantine : quarantined_) {
    if (containsAll(carrier.parts, quarantine.parts)) {
      quarantine.last_requested = now;
    }
  }
  if (isRejected(carrier)) {
    return CrashVerdict::kReject;
  }
  const bool is_accused =
      std::any_of(accusations_.begin(), accusations_.end(), [&carrier](const Accusation& accusation) {
        return containsAll(carrier.parts, accusation.accused.parts);
      });
  return is_accused ? CrashVerdict::kWait : CrashVerdict::kSend;
}

// Where nothing else of the service was served since, the service failed as a whole, and trials go on.
bool PartQuarantine::isQuarantineTrialDue(const Quarantine& quarantine, absl::Time now) const {
  if (quarantine.trial) {
    return now - quarantine.last_trial >= kTrialSendTime;
  }
  const auto served = last_served_.find(quarantine.service);
  const bool has_failed_alone = served != last_served_.end() && served->second > quarantine.first_crash;
  constexpr uint32_t most_doublings = 10;
  const absl::Duration delay = kTrialDelay * (1U << std::min(quarantine.trials, most_doublings));
  const absl::Time last = std::max(quarantine.since, quarantine.last_trial);
  return now - last >= delay && (quarantine.trials < kMaxTrials || !has_failed_alone);
}

bool PartQuarantine::isTrialDue(const PartCarrier& carrier, absl::Time now) const {
  if (quarantined_.empty()) {
    return false;
  }
  Parts on_trial;
  for (const Quarantine& quarantine : quarantined_) {
    if (!containsAll(carrier.parts, quarantine.parts)) {
      continue;
    }
    if (!isQuarantineTrialDue(quarantine, now)) {
      return false;
    }
    on_trial.insert(on_trial.end(), quarantine.parts.begin(), quarantine.parts.end());
  }
  const bool has_other_suspect = std::any_of(carrier.parts.begin(), carrier.parts.end(), [&](PartKey part) {
    return !contains(on_trial, part) && suspects_.contains(part);
  });
  return !on_trial.empty() && !has_other_suspect;
}

std::vector<QuarantinedParts> PartQuarantine::takeTrial(const PartCarrier& carrier, absl::Time now) {
  std::vector<QuarantinedParts> reports;
  for (Quarantine& quarantine : quarantined_) {
    if (!containsAll(carrier.parts, quarantine.parts)) {
      continue;
    }
    quarantine.trials += quarantine.trial ? 0 : 1;  // the request chosen before was not sent
    quarantine.trial = carrier.request;
    quarantine.last_trial = now;
    reports.push_back(reportOf(quarantine, now));
  }
  return reports;
}

void PartQuarantine::noteSent(const PartCarrier& carrier) {
  for (Quarantine& quarantine : quarantined_) {
    if (quarantine.trial == carrier.request) {
      quarantine.trial.reset();
    }
  }
}

std::vector<QuarantinedParts> PartQuarantine::quarantined(size_t limit, absl::Time now) const {
  std::vector<const Quarantine*> latest;
  for (const Quarantine& quarantine : quarantined_) {
    latest.push_back(&quarantine);
  }
  std::sort(latest.begin(), latest.end(), [](const Quarantine* left, const Quarantine* right) {
    return left->last_requested > right->last_requested;
  });
  latest.resize(std::min(latest.size(), limit));
  std::vector<QuarantinedParts> result;
  for (const Quarantine* const quarantine : latest) {
    result.push_back(reportOf(*quarantine, now));
  }
  return result;
}

std::vector<PartCrash> PartQuarantine::unresolvedCrashes(size_t limit, absl::Time now) const {
  std::vector<PartCrash> result;
  size_t parts = 0;
  for (auto number = crash_order_.rbegin(); number != crash_order_.rend(); ++number) {
    const Crash& crash = crashes_.at(*number);
    if (now - crash.at > kCrashReportWindow) {
      break;
    }
    PartCrash report{crash.incarnation, crash.service, {}, now - crash.at};
    for (const PartCarrier& carrier : crash.in_flight) {
      PartCarrier kept{carrier.request, {}};
      std::copy_if(carrier.parts.begin(), carrier.parts.end(), std::back_inserter(kept.parts),
                   [this](PartKey part) { return crashCount(part) > 1; });
      if (!kept.parts.empty() && parts + kept.parts.size() <= limit) {
        parts += kept.parts.size();
        report.in_flight.push_back(std::move(kept));
      }
    }
    if (!report.in_flight.empty()) {
      result.push_back(std::move(report));
    }
  }
  return result;
}

void PartQuarantine::dropOldestCrash() {
  const CrashNumber number = crash_order_.front();
  crash_order_.pop_front();
  const Crash& crash = crashes_.at(number);
  for (const PartCarrier& carrier : crash.in_flight) {
    for (const PartKey part : carrier.parts) {
      const auto suspect = suspects_.find(part);
      if (suspect != suspects_.end()) {
        std::erase(suspect->second.crashes, number);
        if (suspect->second.crashes.empty()) {
          suspects_.erase(suspect);
        }
      }
    }
    in_flight_parts_ -= carrier.parts.size();
  }
  if (last_crash_of_incarnation_.at(crash.incarnation) == number) {
    last_crash_of_incarnation_.erase(crash.incarnation);
  }
  crashes_.erase(number);
}

void PartQuarantine::dropExpired(absl::Time now) {
  while (!crash_order_.empty() && now - crashes_.at(crash_order_.front()).at > kCrashRetention) {
    dropOldestCrash();
  }
  std::erase_if(quarantined_, [now](const Quarantine& quarantine) {
    return now - quarantine.last_requested > kQuarantineRetention;
  });
}

}  // namespace quincewick::forwarding
