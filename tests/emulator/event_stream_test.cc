// Stream faults: what each does to the events, and what it leaves alone.
#include "emulator/event_stream.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "emulator/answer.h"

namespace quincewick::emulator {
namespace {

constexpr uint64_t kTokens = 60;

struct Seen {
  std::vector<uint64_t> offsets;  // of this request's whole events, as they came
  size_t foreign = 0;
  size_t broken = 0;
  bool cut = false;
  bool done = false;
};

Completion completionOf() {
  Completion completion;
  completion.request_id = RequestId("mine");
  completion.answer_seed = 5;
  completion.end_offset = kTokens;
  return completion;
}

void readEvents(const std::string& bytes, Seen& seen) {
  for (const absl::string_view event : absl::StrSplit(bytes, "\n\n", absl::SkipEmpty())) {
    const std::vector<std::string> lines = absl::StrSplit(event, '\n');
    if (lines[0] == "data: [DONE]") {
      seen.done = true;
      continue;
    }
    const auto data = nlohmann::json::parse(lines.at(1).substr(6), nullptr, false);
    uint64_t offset = 0;
    RC_ASSERT(absl::SimpleAtoi(lines[0].substr(4), &offset));
    if (data.is_discarded()) {
      ++seen.broken;
    } else if (data["id"] != "mine") {
      ++seen.foreign;
    } else if (data.contains("choices")) {
      RC_ASSERT(data["choices"][0]["text"] == answerToken(5, offset));
      seen.offsets.push_back(offset);
    }
  }
}

// Writes the whole stream in pieces of any size under one kind of fault.
Seen runStream(FaultKind kind, double share) {
  FaultBoard faults(3);
  Fault fault;
  fault.kind = kind;
  fault.share = share;
  faults.add(fault, absl::Now());
  const Completion completion = completionOf();
  EventStreamWriter writer(completion, 0, faults);
  Seen seen;
  while (writer.next() < kTokens) {
    const uint64_t until = std::min(kTokens, writer.next() + *rc::gen::inRange<uint64_t>(1, 8));
    const auto events = writer.tokensUntil(until);
    if (!events) {
      seen.cut = true;
      return seen;
    }
    readEvents(*events, seen);
  }
  readEvents(writer.end({{"id", "mine"}}), seen);
  return seen;
}

std::vector<uint64_t> allOffsets() {
  std::vector<uint64_t> offsets(kTokens);
  for (uint64_t offset = 0; offset < kTokens; ++offset) {
    offsets[offset] = offset;
  }
  return offsets;
}

TEST_CASE("stream faults duplicate, delay, cross, garble and cut events as they say") {
  rc::prop("duplicate", [] {
    const Seen seen = runStream(FaultKind::kDuplicateEvents, 0.5);
    RC_ASSERT(seen.offsets.size() > kTokens);
    RC_ASSERT(std::is_sorted(seen.offsets.begin(), seen.offsets.end()));
    RC_ASSERT(std::set<uint64_t>(seen.offsets.begin(), seen.offsets.end()).size() == kTokens);
    RC_ASSERT(seen.done);
  });
  rc::prop("late", [] {
    Seen seen = runStream(FaultKind::kLateEvents, 0.5);
    RC_ASSERT_FALSE(std::is_sorted(seen.offsets.begin(), seen.offsets.end()));
    std::sort(seen.offsets.begin(), seen.offsets.end());
    RC_ASSERT(seen.offsets == allOffsets());
    RC_ASSERT(seen.done);
  });
  rc::prop("crossed", [] {
    const Seen seen = runStream(FaultKind::kCrossedAnswers, 0.5);
    RC_ASSERT(seen.foreign > 0u);
    RC_ASSERT(seen.offsets == allOffsets());
  });
  rc::prop("garbled", [] {
    const Seen seen = runStream(FaultKind::kGarbledAnswers, 0.5);
    RC_ASSERT(seen.broken > 0u);
    RC_ASSERT(seen.broken + seen.offsets.size() == kTokens);
  });
  rc::prop("cut", [] {
    const Seen seen = runStream(FaultKind::kCutStreams, 0.2);
    RC_ASSERT(seen.cut);
    RC_ASSERT_FALSE(seen.done);
  });
  rc::prop("none", [] {
    const Seen seen = runStream(FaultKind::kDropEvents, 1);
    RC_ASSERT(seen.offsets == allOffsets());
    RC_ASSERT(seen.done);
  });
}

TEST_CASE("a fault strikes as often as its count says and ends when its time is over") {
  const absl::Time now = absl::FromUnixSeconds(1000);
  FaultBoard faults(1);
  Fault fault;
  fault.kind = FaultKind::kLoseAnswers;
  fault.count = 2;
  faults.add(fault, now);
  fault.count = 0;
  fault.kind = FaultKind::kSlow;
  fault.factor = 3;
  fault.duration = absl::Seconds(5);
  faults.add(fault, now);
  CHECK(faults.strikes(FaultKind::kLoseAnswers, now));
  CHECK(faults.strikes(FaultKind::kLoseAnswers, now));
  CHECK_FALSE(faults.strikes(FaultKind::kLoseAnswers, now));
  CHECK(faults.slowdown(now) == 3);
  CHECK(faults.nextEnd() == now + absl::Seconds(5));
  CHECK(faults.slowdown(now + absl::Seconds(5)) == 1);
}

}  // namespace
}  // namespace quincewick::emulator
