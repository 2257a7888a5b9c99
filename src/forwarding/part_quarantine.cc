#include "forwarding/part_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kQuarantineRetention = absl::Hours(24);  // after a request with the parts last came
// Time in which the request that was chosen for a trial is sent. After it another one may be chosen.
constexpr absl::Duration kTrialSendTime = absl::Seconds(1);
// The site's requirements count sends that are this much later than the fifth crash.
constexpr size_t kCrashesAllowed = 5;
constexpr absl::Duration kContactTime = absl::Seconds(3);
// Bounds on memory, whatever clients send.
constexpr size_t kMaxTrialsKept = 10;
constexpr size_t kMaxQuarantined = 256;
constexpr size_t kMaxAccusations = 64;

using Parts = std::vector<PartKey>;

// Identifies the sends that led to these crashes and that the site's requirements count.
std::vector<uint64_t> countedSends(const PartEvidence::Crashes& crashes) {
  std::vector<uint64_t> sends;
  for (size_t place = kCrashesAllowed; place < crashes.size(); ++place) {
    if (crashes[place]->at > crashes[kCrashesAllowed - 1]->at + kContactTime) {
      sends.push_back(crashes[place]->incarnation);
    }
  }
  return sends;
}

// Adds what is missing. Returns whether anything was.
bool addMissing(std::vector<uint64_t>& trials, const std::vector<uint64_t>& more) {
  bool is_any_new = false;
  for (const uint64_t trial : more) {
    const bool is_new =
        std::find(trials.begin(), trials.end(), trial) == trials.end() && trials.size() < kMaxTrialsKept;
    if (is_new) {
      trials.push_back(trial);
    }
    is_any_new = is_any_new || is_new;
  }
  return is_any_new;
}

}  // namespace

std::vector<AccusedParts> PartQuarantine::noteCrash(const PartCrash& crash, bool is_own, absl::Time now) {
  std::vector<AccusedParts> accused;
  review(evidence_.noteCrash(crash, is_own, now), now, accused);
  return accused;
}

void PartQuarantine::review(const Parts& parts, absl::Time now, std::vector<AccusedParts>& accused) {
  for (const PartKey part : parts) {
    if (!evidence_.isOwn(part)) {
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
    const AccusedParts accusation{group, now - evidence_.crashesUnder(part).front()->at};
    accusations_.push_back({part, accusation, now, objectionsTo(accusation, now).empty()});
    accused.push_back(accusation);
  }
}

std::vector<PartKey> PartQuarantine::assess(PartKey part) const {
  const PartEvidence::Crashes all = evidence_.crashesUnder(part);
  if (all.size() < kCrashesToQuarantine || all.back()->at - all.front()->at < kMinCrashSpan) {
    return {};
  }
  PartEvidence::Crashes unexplained;
  std::copy_if(all.begin(), all.end(), std::back_inserter(unexplained),
               [&](const PartEvidence::Crash* crash) { return !isExplained(*crash, part); });
  const size_t moments = PartEvidence::countMoments(unexplained, part);
  const bool is_one_of_several = PartEvidence::countMoments(all, part) >= kCrashesAmongSeveralCauses &&
                                 moments >= kUnexplainedAmongSeveralCauses;
  // What is in flight as one and the same request is for CrashRegister to judge as a whole.
  const bool is_cause =
      (moments >= kCrashesToQuarantine || is_one_of_several) && !evidence_.isOfOneRequest(part);
  return is_cause ? evidence_.partsAlwaysWith(part) : Parts();
}

bool PartQuarantine::isExplained(const PartEvidence::Crash& crash, PartKey part) const {
  return std::any_of(crash.in_flight.begin(), crash.in_flight.end(), [&](const PartCarrier& carrier) {
    const bool has_worse = std::any_of(carrier.parts.begin(), carrier.parts.end(), [&](PartKey other) {
      return other != part && evidence_.isWorse(other, part);
    });
    const bool has_quarantined =
        std::any_of(quarantined_.begin(), quarantined_.end(), [&](const Quarantine& quarantine) {
          return quarantine.parts != Parts{part} && containsAll(carrier.parts, quarantine.parts);
        });
    return has_worse || has_quarantined;
  });
}

void PartQuarantine::releaseHolds(PartKey part) {
  for (Accusation& accusation : accusations_) {
    accusation.holds_requests = accusation.holds_requests && !contains(accusation.accused.parts, part);
  }
}

bool PartQuarantine::isCovered(const Parts& parts) const {
  return std::any_of(quarantined_.begin(), quarantined_.end(),
                     [&parts](const Quarantine& quarantine) { return containsAll(parts, quarantine.parts); });
}

std::vector<QuarantineChange> PartQuarantine::noteServed(uint64_t service, const Parts& parts,
                                                         absl::Time now) {
  last_served_[service] = now;
  for (const PartKey part : parts) {
    evidence_.noteServed(part, now);
    releaseHolds(part);
  }
  return release(parts, now);
}

std::vector<QuarantineChange> PartQuarantine::noteServedElsewhere(const ServedPart& served, absl::Time now) {
  const absl::Time at = now - std::max(served.ago, absl::ZeroDuration());
  evidence_.noteServed(served.part, at);
  releaseHolds(served.part);
  return release({served.part}, at);
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

std::vector<ServedPart> PartQuarantine::objectionsTo(const AccusedParts& accused, absl::Time now) const {
  return evidence_.servedSince(accused.parts, now - accused.first_crash - PartEvidence::kServedBefore, now);
}

std::vector<ServedPart> PartQuarantine::objectionsTo(const QuarantinedParts& quarantined,
                                                     absl::Time now) const {
  return evidence_.servedSince(quarantined.parts, now - quarantined.last_crash, now);
}

void PartQuarantine::noteAccused(const AccusedParts& accused, absl::Time now) {
  const bool is_valid = !accused.parts.empty() && accusations_.size() < kMaxAccusations;
  if (is_valid && objectionsTo(accused, now).empty()) {
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
    const PartEvidence::Crashes crashes = evidence_.crashesUnder(part);
    Quarantine quarantine;
    quarantine.parts = group;
    quarantine.service = crashes.front()->service;
    quarantine.since = now;
    quarantine.first_crash = crashes.front()->at;
    quarantine.last_crash = crashes.back()->at;
    quarantine.last_requested = now;
    addMissing(quarantine.trials, countedSends(crashes));
    quarantine.was_served = std::all_of(group.begin(), group.end(),
                                        [this](PartKey other) { return evidence_.wasServedBefore(other); });
    confirmed.push_back(reportOf(quarantine, now));
    addQuarantine(std::move(quarantine));
  }
  if (is_any_cleared) {
    review(evidence_.suspects(), now, accused);
  }
  return confirmed;
}

QuarantinedParts PartQuarantine::reportOf(const Quarantine& quarantine, absl::Time now) {
  return {quarantine.parts,  quarantine.service,   now - quarantine.first_crash, now - quarantine.last_crash,
          quarantine.trials, quarantine.was_served};
}

bool PartQuarantine::noteQuarantined(const QuarantinedParts& quarantined, absl::Time now) {
  const auto known =
      std::find_if(quarantined_.begin(), quarantined_.end(),
                   [&](const Quarantine& quarantine) { return quarantine.parts == quarantined.parts; });
  if (known != quarantined_.end()) {
    if (addMissing(known->trials, quarantined.trials)) {
      known->last_trial = now;
    }
    known->was_served = known->was_served || quarantined.was_served;
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
  quarantine.was_served = quarantined.was_served;
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
                     [this](PartKey part) { return evidence_.crashCount(part) >= kCrashesOfSuspect; });
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
        return accusation.holds_requests && containsAll(carrier.parts, accusation.accused.parts);
      });
  return is_accused ? CrashVerdict::kWait : CrashVerdict::kSend;
}

bool PartQuarantine::isQuarantineTrialDue(const Quarantine& quarantine, bool ranks_first,
                                          absl::Time now) const {
  if (quarantine.trial) {
    return now - quarantine.last_trial >= kTrialSendTime;
  }
  const auto served = last_served_.find(quarantine.service);
  const bool has_failed_alone = served != last_served_.end() && served->second > quarantine.first_crash;
  const size_t trials = quarantine.trials.size();
  absl::Duration delay = kTrialDelay * (1U << std::min(trials, kMaxTrialsKept));
  if (has_failed_alone && trials >= (quarantine.was_served ? kMaxTrialsIfServed : kMaxTrials)) {
    delay = quarantine.was_served ? kLateTrialInterval : absl::InfiniteDuration();
  }
  if (!ranks_first) {
    delay += quarantine.was_served || trials == 0 ? kTrialTakeoverDelay : absl::InfiniteDuration();
  }
  return now - std::max(quarantine.since, quarantine.last_trial) >= delay;
}

std::vector<PartKey> PartQuarantine::partsOnTrial(const PartCarrier& carrier) const {
  Parts parts;
  for (const Quarantine& quarantine : quarantined_) {
    if (containsAll(carrier.parts, quarantine.parts)) {
      parts.insert(parts.end(), quarantine.parts.begin(), quarantine.parts.end());
    }
  }
  return parts;
}

bool PartQuarantine::isTrialDue(const PartCarrier& carrier, bool ranks_first, absl::Time now) const {
  const Parts on_trial = partsOnTrial(carrier);
  if (on_trial.empty()) {
    return false;
  }
  const bool is_any_not_due =
      std::any_of(quarantined_.begin(), quarantined_.end(), [&](const Quarantine& quarantine) {
        return containsAll(carrier.parts, quarantine.parts) &&
               !isQuarantineTrialDue(quarantine, ranks_first, now);
      });
  const bool has_other_suspect = std::any_of(carrier.parts.begin(), carrier.parts.end(), [&](PartKey part) {
    return !contains(on_trial, part) && evidence_.isSuspect(part);
  });
  return !is_any_not_due && !has_other_suspect;
}

std::vector<QuarantinedParts> PartQuarantine::takeTrial(const PartCarrier& carrier, absl::Time now) {
  std::vector<QuarantinedParts> reports;
  for (Quarantine& quarantine : quarantined_) {
    if (!containsAll(carrier.parts, quarantine.parts)) {
      continue;
    }
    if (quarantine.trial) {
      std::erase(quarantine.trials, *quarantine.trial);  // it was not sent
    }
    addMissing(quarantine.trials, {carrier.request});
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
  std::transform(quarantined_.begin(), quarantined_.end(), std::back_inserter(latest),
                 [](const Quarantine& quarantine) { return &quarantine; });
  std::sort(latest.begin(), latest.end(), [](const Quarantine* left, const Quarantine* right) {
    return left->last_requested > right->last_requested;
  });
  latest.resize(std::min(latest.size(), limit));
  std::vector<QuarantinedParts> result;
  std::transform(latest.begin(), latest.end(), std::back_inserter(result),
                 [now](const Quarantine* quarantine) { return reportOf(*quarantine, now); });
  return result;
}

void PartQuarantine::dropExpired(absl::Time now) {
  evidence_.dropExpired(now);
  std::erase_if(quarantined_, [now](const Quarantine& quarantine) {
    return now - quarantine.last_requested > kQuarantineRetention;
  });
}

}  // namespace quincewick::forwarding
