#include "loadgen/answer_check.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "emulator/answer.h"
#include "loadgen/action_audit.h"

namespace quincewick::loadgen {
namespace {

constexpr const char* kModel = "m";
constexpr const char* kPrompt = "what does a day cost";
constexpr uint32_t kTokens = 6;

// The events of the right answer: kTokens tokens, the last data event, the end marker.
std::vector<ServerSentEvent> rightAnswer(const std::string& prompt) {
  const uint64_t seed = emulator::answerSeed(kModel, prompt);
  std::vector<ServerSentEvent> events;
  for (uint32_t offset = 0; offset < kTokens; ++offset) {
    const nlohmann::json body = {{"choices", {{{"text", emulator::answerToken(seed, offset)}}}}};
    events.push_back({"", std::to_string(offset), body.dump()});
  }
  const nlohmann::json last = {
      {"choices", {{{"text", ""}, {"finish_reason", "length"}}}},
      {"usage", {{"prompt_tokens", 20}, {"prompt_tokens_details", {{"cached_tokens", 8}}}}}};
  events.push_back({"", std::to_string(kTokens), last.dump()});
  events.push_back({"", "", "[DONE]"});
  return events;
}

RequestOutcome check(const std::vector<ServerSentEvent>& events, bool cleanly = true) {
  AnswerCheck answer(kModel, kPrompt, kTokens);
  for (const ServerSentEvent& event : events) {
    answer.accept(event, absl::Seconds(1));
  }
  RequestOutcome outcome;
  answer.finish(cleanly, outcome);
  return outcome;
}

TEST_CASE("a right answer is complete and its usage is read") {
  const RequestOutcome outcome = check(rightAnswer(kPrompt));
  CHECK(outcome.outcome == OutcomeClass::kComplete);
  CHECK_FALSE(outcome.violation.has_value());
  CHECK(outcome.tokens == kTokens);
  CHECK(outcome.usage.prompt_tokens == 20);
  CHECK(outcome.usage.cached_tokens == 8);
}

TEST_CASE("every single loss, duplicate, swap or foreign event of an answer is a violation") {
  rc::prop("any single change is found", [] {
    std::vector<ServerSentEvent> events = rightAnswer(kPrompt);
    const auto place = *rc::gen::inRange<size_t>(0, kTokens);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        events.erase(events.begin() + static_cast<ptrdiff_t>(place));
        break;
      case 1:
        events.insert(events.begin() + static_cast<ptrdiff_t>(place), events[place]);
        break;
      case 2:
        std::swap(events[place], events[place + 1]);
        break;
      default:
        events[place] = rightAnswer("another caller's prompt")[place];
    }
    RC_ASSERT(check(events).violation.has_value());
  });
}

TEST_CASE("ends: twice, too early, silent, broken and typed") {
  std::vector<ServerSentEvent> events = rightAnswer(kPrompt);
  events.push_back(events.back());
  CHECK(check(events).violation == Violation::kEndMarker);

  events = rightAnswer(kPrompt);
  events.pop_back();
  CHECK(check(events).violation == Violation::kSilentEnd);

  const RequestOutcome broken = check(events, false);
  CHECK_FALSE(broken.violation.has_value());
  CHECK(broken.outcome == OutcomeClass::kFailed);

  events.resize(2);
  events.push_back({"error", "", R"({"error":{"type":"unavailable","ran":"unknown"}})"});
  const RequestOutcome cut = check(events);
  CHECK_FALSE(cut.violation.has_value());
  CHECK(cut.outcome == OutcomeClass::kCut);
  CHECK(cut.error_type == "unavailable");
}

TEST_CASE("the event parser gives the same events however the bytes are cut") {
  rc::prop("cuts do not matter", [] {
    const std::string bytes =
        "id: 0\ndata: {\"a\":1}\n\n: comment\r\nevent: error\r\ndata: x\r\ndata: y\r\n\r\ndata:[DONE]\n\n";
    EventStreamParser parser;
    std::vector<ServerSentEvent> events;
    size_t place = 0;
    while (place < bytes.size()) {
      const auto size = *rc::gen::inRange<size_t>(1, 12);
      for (ServerSentEvent& event : parser.feed(std::string_view(bytes).substr(place, size))) {
        events.push_back(std::move(event));
      }
      place += size;
    }
    RC_ASSERT(events.size() == 3U);
    RC_ASSERT(events[0].id == "0");
    RC_ASSERT(events[0].data == "{\"a\":1}");
    RC_ASSERT(events[1].event == "error");
    RC_ASSERT(events[1].data == "x\ny");
    RC_ASSERT(events[2].data == "[DONE]");
    RC_ASSERT(!parser.hasPartialEvent());
  });
}

TEST_CASE("the audit tells doubled, lost and falsely refused actions from right ones") {
  Workload workload;
  KindSpecification& pay = workload.kinds.emplace_back();
  pay.name = RequestKind("pay");
  pay.type = KindType::kAction;
  const auto answered = [](std::string key, OutcomeClass outcome, Execution execution) {
    RequestOutcome result;
    result.arrival.idempotency_key = std::move(key);
    result.outcome = outcome;
    result.execution = execution;
    return result;
  };
  std::vector<RequestOutcome> outcomes = {
      answered("right", OutcomeClass::kComplete, Execution::kRan),
      answered("right", OutcomeClass::kRefused, Execution::kNotRun),  // the repeat alone did not run
      answered("twice", OutcomeClass::kComplete, Execution::kRan),
      answered("lost", OutcomeClass::kComplete, Execution::kRan),
      answered("denied", OutcomeClass::kRefused, Execution::kNotRun),
      answered("unknown", OutcomeClass::kFailed, Execution::kUnknown),
      answered("refused", OutcomeClass::kRefused, Execution::kNotRun),
      answered("shared", OutcomeClass::kComplete, Execution::kRan)};
  ActionRuns runs;
  REQUIRE(addActionRuns(R"({"runs":[{"kind":"pay","key":"right","count":1},{"kind":"pay","key":"twice",
      "count":1},{"kind":"pay","key":"denied","count":1},{"kind":"pay","key":"unknown","count":1}]})",
                        runs)
              .has_value());
  for (int server = 0; server < 2; ++server) {  // both share one log
    REQUIRE(
        addActionRuns(R"({"log":"a","runs":[{"kind":"pay","key":"refused","count":0}]})", runs).has_value());
    REQUIRE(
        addActionRuns(R"({"log":"b","runs":[{"kind":"pay","key":"shared","count":1}]})", runs).has_value());
  }
  REQUIRE(addActionRuns(R"({"log":"c","runs":[{"kind":"pay","key":"twice","count":1}]})", runs).has_value());
  REQUIRE(addActionRuns(R"({"runs":[{"kind":"pay"}]})", runs).has_error());
  auditActions(workload, runs, outcomes);
  CHECK_FALSE(outcomes[0].violation.has_value());
  CHECK_FALSE(outcomes[1].violation.has_value());
  CHECK(outcomes[2].violation == Violation::kActionDoubled);
  CHECK(outcomes[3].violation == Violation::kActionLost);
  CHECK(outcomes[4].violation == Violation::kFalseNotRun);
  CHECK_FALSE(outcomes[5].violation.has_value());
  CHECK_FALSE(outcomes[6].violation.has_value());
  CHECK_FALSE(outcomes[7].violation.has_value());
}

}  // namespace
}  // namespace quincewick::loadgen
