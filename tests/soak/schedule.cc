#include "schedule.h"

#include <absl/random/distributions.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <random>

namespace quincewick::soak {
namespace {

constexpr std::array kFaultNames = {"stop",
                                    "kill",
                                    "freeze",
                                    "reload",
                                    "kill-many",
                                    "store-refuses",
                                    "store-silent",
                                    "store-down",
                                    "store-slow",
                                    "store-loses",
                                    "store-forgets",
                                    "back-end-leaves",
                                    "back-end-goes",
                                    "back-end-dies",
                                    "refuses",
                                    "fails",
                                    "answers-lost",
                                    "answers-cut",
                                    "reset",
                                    "silent",
                                    "route",
                                    "key",
                                    "restarts",
                                    "row-spoiled",
                                    "row-old",
                                    "names-rate",
                                    "rests",
                                    "says-leaving",
                                    "speaks-ill",
                                    "weights-named",
                                    "store-goes-back",
                                    "holder-killed",
                                    "holder-frozen",
                                    "holder-refused",
                                    "path-reset",
                                    "path-refused",
                                    "path-silent",
                                    "brittle",
                                    "route-storm",
                                    "store-goes-back-late",
                                    "kill-all"};
constexpr size_t kKindCount = kFaultNames.size();
static_assert(static_cast<size_t>(FaultKind::kKillAll) + 1 == kKindCount);
// Kinds added later are drawn by separate generators, so that a seed's earlier faults don't change.
constexpr size_t kFirstKindsEnd = static_cast<size_t>(FaultKind::kKeyRemoved) + 1;
constexpr size_t kSecondKindsEnd = static_cast<size_t>(FaultKind::kRowOutdated) + 1;
constexpr size_t kThirdKindsEnd = static_cast<size_t>(FaultKind::kBackEndSendsMalformed) + 1;
constexpr size_t kFourthKindsEnd = static_cast<size_t>(FaultKind::kHolderRefused) + 1;
constexpr size_t kFifthKindsEnd = static_cast<size_t>(FaultKind::kBackEndBrittle) + 1;
constexpr size_t kDrawnKindsEnd = static_cast<size_t>(FaultKind::kStoreRestoredLate) + 1;

// Mean interval between faults. Some repeat up to three times, 0.5 s to 2 s apart.
constexpr absl::Duration kMeanInterval = absl::Milliseconds(400);
constexpr absl::Duration kMeanIntervalOfLaterKinds = absl::Milliseconds(1500);
constexpr absl::Duration kMinFaultDuration = absl::Milliseconds(300);
constexpr absl::Duration kMaxFaultDuration = absl::Seconds(6);
constexpr int kMaxSeries = 3;
constexpr uint32_t kTargetRange = 60;
constexpr uint64_t kThirdSeedMask = 0x5bd1e995;  // gives a seed's generators different sequences
constexpr uint64_t kFourthSeedMask = 0x27d4eb2f;
constexpr uint64_t kFifthSeedMask = 0x165667b1;
constexpr uint64_t kSixthSeedMask = 0x9e3779b1;
constexpr uint64_t kSeventhSeedMask = 0x85ebca6b;
constexpr int kWeightsSeries = 4;

// Draws faults of the kinds in [first_kind, end_kind), without repetitions, from a separate generator.
void drawLaterKinds(std::mt19937_64 random, size_t first_kind, size_t end_kind, absl::Duration last,
                    absl::Duration longest, Schedule& schedule) {
  const auto drawDuration = [&random](absl::Duration least, absl::Duration most) {
    const auto span = static_cast<uint64_t>(absl::ToInt64Milliseconds(most - least)) + 1;
    return least + absl::Milliseconds(static_cast<int64_t>(random() % span));
  };
  for (absl::Duration at = drawDuration(absl::Milliseconds(500), kMeanIntervalOfLaterKinds * 2); at < last;
       at += drawDuration(absl::ZeroDuration(), kMeanIntervalOfLaterKinds * 2)) {
    Fault fault;
    fault.at = at;
    fault.kind = static_cast<FaultKind>(first_kind + random() % (end_kind - first_kind));
    fault.target = static_cast<uint32_t>(random() % kTargetRange);
    fault.duration = drawDuration(kMinFaultDuration, longest);
    schedule.push_back(fault);
  }
}

}  // namespace

// Uses a standard generator without library distributions, so that a seed gives the same schedule on every
// platform.
Schedule drawSchedule(uint64_t seed, absl::Duration length, bool draws_restores) {
  std::mt19937_64 random(seed);
  const auto drawDuration = [&random](absl::Duration least, absl::Duration most) {
    const auto span = static_cast<uint64_t>(absl::ToInt64Milliseconds(most - least)) + 1;
    return least + absl::Milliseconds(static_cast<int64_t>(random() % span));
  };
  Schedule schedule;
  const absl::Duration last = std::max(length - kMaxFaultDuration, length / 2);
  for (absl::Duration at = drawDuration(absl::Milliseconds(500), kMeanInterval * 2); at < last;
       at += drawDuration(absl::ZeroDuration(), kMeanInterval * 2)) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(random() % kFirstKindsEnd);
    fault.target = static_cast<uint32_t>(random() % kTargetRange);
    fault.duration = drawDuration(kMinFaultDuration, std::min(kMaxFaultDuration, length - last));
    const int times = random() % 3 == 0 ? static_cast<int>(random() % kMaxSeries) + 1 : 1;
    absl::Duration begin = at;
    for (int count = 0; count < times && begin < last; ++count) {
      fault.at = begin;
      schedule.push_back(fault);
      begin += drawDuration(absl::Milliseconds(500), absl::Seconds(2));
      fault.target = random() % 2 == 0 ? fault.target : static_cast<uint32_t>(random() % kTargetRange);
    }
  }
  const absl::Duration longest = std::min(kMaxFaultDuration, length - last);
  drawLaterKinds(std::mt19937_64(~seed), kFirstKindsEnd, kSecondKindsEnd, last, longest, schedule);
  drawLaterKinds(std::mt19937_64(seed ^ kThirdSeedMask), kSecondKindsEnd, kThirdKindsEnd, last, longest,
                 schedule);
  if (draws_restores) {
    drawLaterKinds(std::mt19937_64(seed ^ kFourthSeedMask), kThirdKindsEnd, kFourthKindsEnd, last, longest,
                   schedule);
    drawLaterKinds(std::mt19937_64(seed ^ kSixthSeedMask), kFifthKindsEnd, kDrawnKindsEnd, last, longest,
                   schedule);
  }
  drawLaterKinds(std::mt19937_64(seed ^ kFifthSeedMask), kFourthKindsEnd, kFifthKindsEnd, last, longest,
                 schedule);
  std::stable_sort(schedule.begin(), schedule.end(),
                   [](const Fault& one, const Fault& other) { return one.at < other.at; });
  return schedule;
}

void addWeightsSeries(uint64_t seed, absl::Duration length, Schedule& schedule) {
  std::mt19937_64 random(seed ^ kSeventhSeedMask);
  const auto last = static_cast<uint64_t>(absl::ToInt64Milliseconds(length));
  for (int series = 0; series < kWeightsSeries; ++series) {
    absl::Duration at = absl::Milliseconds(static_cast<int64_t>(random() % last));
    for (int count = 0; count < kMaxSeries; ++count) {
      schedule.push_back({at, FaultKind::kVersionPublished, 0, absl::ZeroDuration()});
      at += absl::Milliseconds(static_cast<int64_t>(100 + random() % 1500));
    }
  }
  std::stable_sort(schedule.begin(), schedule.end(),
                   [](const Fault& one, const Fault& other) { return one.at < other.at; });
}

void addAtIntervals(FaultKind kind, absl::Duration interval, absl::Duration length, Schedule& schedule) {
  for (absl::Duration at = interval; at > absl::ZeroDuration() && at < length; at += interval) {
    schedule.push_back({at, kind, 0, absl::ZeroDuration()});
  }
  std::stable_sort(schedule.begin(), schedule.end(),
                   [](const Fault& one, const Fault& other) { return one.at < other.at; });
}

std::string printSchedule(const Schedule& schedule) {
  std::string text;
  for (const Fault& fault : schedule) {
    absl::StrAppend(&text, absl::ToInt64Milliseconds(fault.at), " ",
                    kFaultNames.at(static_cast<size_t>(fault.kind)), " ", fault.target, " ",
                    absl::ToInt64Milliseconds(fault.duration), "\n");
  }
  return text;
}

Result<Schedule> parseSchedule(const std::string& text) {
  Schedule schedule;
  for (const absl::string_view line : absl::StrSplit(text, '\n', absl::SkipWhitespace())) {
    if (line.front() == '#') {
      continue;
    }
    const std::vector<std::string> words = absl::StrSplit(line, ' ', absl::SkipWhitespace());
    const auto name =
        words.size() == 4 ? std::find(kFaultNames.begin(), kFaultNames.end(), words[1]) : kFaultNames.end();
    int64_t at = 0;
    int64_t duration = 0;
    Fault fault;
    const bool is_read = name != kFaultNames.end() && absl::SimpleAtoi(words[0], &at) &&
                         absl::SimpleAtoi(words[2], &fault.target) && absl::SimpleAtoi(words[3], &duration);
    if (!is_read) {
      return fail(ErrorCode::kInvalidArgument, absl::StrCat("not a fault line: ", line));
    }
    fault.kind = static_cast<FaultKind>(name - kFaultNames.begin());
    fault.at = absl::Milliseconds(at);
    fault.duration = absl::Milliseconds(duration);
    schedule.push_back(fault);
  }
  return schedule;
}

}  // namespace quincewick::soak
