#include "forwarding/part_evidence.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace quincewick::forwarding {
namespace {

// Gateways report one crash within milliseconds of each other; a server needs seconds to restart.
constexpr absl::Duration kSameCrashWindow = absl::Seconds(1);
constexpr absl::Duration kCrashRetention = absl::Hours(1);
constexpr absl::Duration kCrashReportWindow = absl::Minutes(1);
// Bounds on memory, whatever clients send.
constexpr size_t kMaxInFlightParts = 8192;
constexpr size_t kMaxCrashes = 1024;
constexpr size_t kMaxInFlightPerCrash = 256;

using Parts = std::vector<PartKey>;

// Whether a request with the part was in flight at both.
bool shareRequest(const PartEvidence::Crash& first, const PartEvidence::Crash& second, PartKey part) {
  return std::any_of(first.in_flight.begin(), first.in_flight.end(), [&](const PartCarrier& carrier) {
    return contains(carrier.parts, part) &&
           std::any_of(second.in_flight.begin(), second.in_flight.end(),
                       [&carrier](const PartCarrier& other) { return other.request == carrier.request; });
  });
}

}  // namespace

bool contains(const Parts& parts, PartKey part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool containsAll(const Parts& parts, const Parts& wanted) {
  return std::all_of(wanted.begin(), wanted.end(), [&parts](PartKey part) { return contains(parts, part); });
}

// A later crash of the same identity belongs to a new incarnation that the server list doesn't show yet.
PartEvidence::CrashNumber PartEvidence::crashNumberFor(const PartCrash& crash, absl::Time at) {
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

std::vector<PartKey> PartEvidence::noteCrash(const PartCrash& crash, bool is_own, absl::Time now) {
  const CrashNumber number = crashNumberFor(crash, now - std::max(crash.ago, absl::ZeroDuration()));
  for (const PartCarrier& carrier : crash.in_flight) {
    addCarrier(number, carrier, is_own);
  }
  Parts in_flight;
  for (const PartCarrier& carrier : crashes_.at(number).in_flight) {
    in_flight.insert(in_flight.end(), carrier.parts.begin(), carrier.parts.end());
  }
  while (in_flight_parts_ > kMaxInFlightParts || crashes_.size() > kMaxCrashes) {
    dropOldestCrash();
  }
  return in_flight;
}

void PartEvidence::addCarrier(CrashNumber number, const PartCarrier& carrier, bool is_own) {
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

void PartEvidence::noteServed(PartKey part, absl::Time at) {
  Served& slot = servedSlot(part);
  if (slot.part != part || slot.at < at) {
    slot = {part, at};
  }
  const auto suspect = suspects_.find(part);
  if (suspect == suspects_.end()) {
    return;
  }
  std::erase_if(suspect->second.crashes, [&](CrashNumber number) {
    Crash& crash = crashes_.at(number);
    if (crash.at > at) {
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

absl::Time PartEvidence::servedAt(PartKey part) const {
  const Served& served = served_[part.value() % served_.size()];
  return served.part == part ? served.at : absl::InfinitePast();
}

std::vector<ServedPart> PartEvidence::servedSince(const Parts& parts, absl::Time since,
                                                  absl::Time now) const {
  std::vector<ServedPart> served;
  for (const PartKey part : parts) {
    if (servedAt(part) > since) {
      served.push_back({part, now - servedAt(part)});
    }
  }
  return served;
}

PartEvidence::Crashes PartEvidence::crashesUnder(PartKey part) const {
  Crashes result;
  const auto suspect = suspects_.find(part);
  if (suspect != suspects_.end()) {
    std::transform(suspect->second.crashes.begin(), suspect->second.crashes.end(), std::back_inserter(result),
                   [this](CrashNumber number) { return &crashes_.at(number); });
  }
  std::sort(result.begin(), result.end(),
            [](const Crash* left, const Crash* right) { return left->at < right->at; });
  return result;
}

size_t PartEvidence::crashCount(PartKey part) const {
  const auto found = suspects_.find(part);
  return found == suspects_.end() ? 0 : found->second.crashes.size();
}

bool PartEvidence::isOwn(PartKey part) const {
  const auto suspect = suspects_.find(part);
  return suspect != suspects_.end() && suspect->second.is_own;
}

std::vector<PartKey> PartEvidence::suspects() const {
  Parts result;
  std::transform(suspects_.begin(), suspects_.end(), std::back_inserter(result),
                 [](const auto& entry) { return entry.first; });
  return result;
}

size_t PartEvidence::countMoments(const Crashes& crashes, PartKey part) {
  size_t count = 0;
  const Crash* last = nullptr;
  for (const Crash* const crash : crashes) {
    if (last == nullptr || crash->at - last->at > kSameMoment || shareRequest(*last, *crash, part)) {
      ++count;
      last = crash;
    }
  }
  return count;
}

bool PartEvidence::wasServedBefore(PartKey part) const {
  const auto suspect = suspects_.find(part);
  return suspect != suspects_.end() &&
         crashes_.at(suspect->second.crashes.front()).at - servedAt(part) < kServedBefore;
}

// A part that was served shortly before its crashes is likely to be sound: no number of crashes makes it
// worse than one that wasn't.
bool PartEvidence::isWorse(PartKey other, PartKey part) const {
  const bool was_other_served = wasServedBefore(other);
  const bool was_part_served = wasServedBefore(part);
  if (was_other_served != was_part_served) {
    return was_part_served && crashCount(other) >= kCrashesOfUnserved;
  }
  return crashCount(other) > crashCount(part);
}

bool PartEvidence::isOfOneRequest(PartKey part) const {
  const Crashes crashes = crashesUnder(part);
  const std::vector<PartCarrier>& first = crashes.front()->in_flight;
  return std::any_of(first.begin(), first.end(), [&](const PartCarrier& carrier) {
    return contains(carrier.parts, part) &&
           std::all_of(crashes.begin(), crashes.end(), [&carrier](const Crash* crash) {
             return std::any_of(crash->in_flight.begin(), crash->in_flight.end(),
                                [&](const PartCarrier& other) { return other.request == carrier.request; });
           });
  });
}

std::vector<PartKey> PartEvidence::partsAlwaysWith(PartKey part) const {
  std::optional<Parts> common;
  for (const Crash* const crash : crashesUnder(part)) {
    Parts together;
    for (const PartCarrier& carrier : crash->in_flight) {
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

std::vector<PartCrash> PartEvidence::unresolvedCrashes(size_t limit, absl::Time now) const {
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

void PartEvidence::dropOldestCrash() {
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

void PartEvidence::dropExpired(absl::Time now) {
  while (!crash_order_.empty() && now - crashes_.at(crash_order_.front()).at > kCrashRetention) {
    dropOldestCrash();
  }
}

}  // namespace quincewick::forwarding
