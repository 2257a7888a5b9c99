// The load tool against the callers' API of a router whose answers are made to go wrong on purpose.
#include "loadgen/driver.h"

#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "emulator/answer.h"
#include "http/caller_api.h"
#include "http/http_server.h"
#include "loadgen/report.h"
#include "loadgen/summary.h"

namespace quincewick::loadgen {
namespace {

constexpr std::string_view kWorkload = R"(
name: test
block_size: 256
tenants: [{ id: a, key: key-a, weight: 3 }, { id: b, key: key-b }]
trees: [{ name: book, levels: [{ branching: 3, blocks: 4 }] }]
kinds:
  - { name: ask, type: inference, weight: 5, model: m, tree: book, unique_characters: [5, 900],
      output_tokens: [3, 20] }
  - { name: chat, type: inference, weight: 5, model: m, tree: book, endpoint: chat, urgency: urgent,
      unique_characters: [5, 50], output_tokens: [1, 20] }
  - { name: pay, type: action, weight: 4, repeat_share: 0.3 }
  - { name: look, type: lookup, weight: 1 }
)";

std::vector<StreamEvent> rightAnswer(const http::CompletionCall& call) {
  const uint64_t seed = emulator::answerSeed(call.model.value(), call.prompt);
  const uint64_t length = std::min(call.maximum_tokens, emulator::answerLength(seed));
  std::vector<StreamEvent> events;
  for (uint64_t offset = 0; offset < length; ++offset) {
    events.emplace_back(TokenEvent{offset, emulator::answerToken(seed, offset)});
  }
  const Usage usage = {call.prompt.size(), call.prompt.size() / 2, length};
  events.emplace_back(EndEvent{length, FinishReason::kLength, usage});
  return events;
}

class FixedReader : public http::ResponseReader {
 public:
  explicit FixedReader(std::vector<StreamEvent> events) : events_(std::move(events)) {}
  std::vector<StreamEvent> next(absl::Duration /*patience*/) override { return std::move(events_); }
  void abandon() override {}

 private:
  std::vector<StreamEvent> events_;
};

// Answers rightly, but each tenth call of a sort goes wrong in the chosen way.
class FaultyRouter : public http::CallerBackend {
 public:
  enum class Fault { kNone, kSwap, kRefuse, kCut, kRunTwice, kFalseNotRun };

  explicit FaultyRouter(Fault fault) : fault_(fault) {}

  Result<TenantId> authenticate(std::string_view key) override {
    if (key != "key-a" && key != "key-b") {
      return fail(ErrorCode::kUnauthenticated, "wrong key");
    }
    return TenantId(std::string(key));
  }

  RequestId newRequestId() override { return RequestId("request"); }

  Result<std::shared_ptr<http::ResponseReader>> complete(const http::CompletionCall& call) override {
    std::vector<StreamEvent> events = rightAnswer(call);
    if (isFaulty(fault_ == Fault::kSwap) && events.size() > 2) {
      std::swap(events[0], events[1]);
    }
    if (isFaulty(fault_ == Fault::kRefuse)) {
      return fail(ErrorCode::kResourceExhausted, "full");
    }
    if (isFaulty(fault_ == Fault::kCut)) {
      events.back() = CutEvent{Error{ErrorCode::kUnavailable, "engine lost", Execution::kUnknown}};
    }
    return std::shared_ptr<http::ResponseReader>(std::make_unique<FixedReader>(std::move(events)));
  }

  Result<std::shared_ptr<http::ResponseReader>> reconnect(const RequestId&, const TenantId&,
                                                          std::optional<uint64_t>) override {
    return fail(ErrorCode::kNotFound, "not kept");
  }

  Result<http::ActionAnswer> runAction(const http::ActionCall& call) override {
    const absl::MutexLock lock(&mutex_);
    if (call.key.empty()) {
      return http::ActionAnswer{200, "{}", false};
    }
    uint64_t& count = runs_[{call.kind.value(), call.key.value()}];
    const bool is_repeat = count > 0;
    count = is_repeat ? count : 1;
    if (isFaulty(fault_ == Fault::kRunTwice)) {
      ++count;
    }
    if (isFaulty(fault_ == Fault::kFalseNotRun)) {
      return fail(ErrorCode::kUnavailable, "not run", Execution::kNotRun);
    }
    return http::ActionAnswer{200, "{}", is_repeat};
  }

  std::vector<ModelName> models(const TenantId&) override { return {}; }
  bool ready() override { return true; }
  std::string metricsText() override { return ""; }

  std::string runsJson() {
    const absl::MutexLock lock(&mutex_);
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [key, count] : runs_) {
      list.push_back({{"kind", key.first}, {"key", key.second}, {"count", count}});
    }
    return nlohmann::json{{"runs", list}}.dump();
  }

 private:
  bool isFaulty(bool is_chosen) {
    constexpr uint64_t one_in = 10;
    return is_chosen && counter_++ % one_in == 0;
  }

  Fault fault_;
  std::atomic<uint64_t> counter_ = 0;
  absl::Mutex mutex_;
  absl::btree_map<std::pair<std::string, std::string>, uint64_t> runs_ ABSL_GUARDED_BY(mutex_);
};

struct Run {
  Workload workload;
  DriverOptions options;
  RunRecord record;
  nlohmann::json result;
};

Run runAgainst(FaultyRouter::Fault fault) {
  constexpr uint16_t closed_port = 1;  // the tool must pass over a target that can't be reached
  FaultyRouter router(fault);
  http::HttpServer server(http::HttpServerOptions{});
  http::registerCallerApi(server.routes(), router);
  server.routes().Get("/admin/runs", [&](const httplib::Request&, httplib::Response& response) {
    response.set_content(router.runsJson(), "application/json");
  });
  const uint16_t port = server.start(Address{"127.0.0.1", 0}).value();
  Run run;
  run.workload = parseWorkload(kWorkload, "test.yaml").value();
  run.options.targets = {Address{"127.0.0.1", port}, Address{"127.0.0.1", closed_port}};
  run.options.action_servers = {Address{"127.0.0.1", port}};
  run.options.length = absl::Milliseconds(500);
  run.options.rate = 400;
  run.options.workers = 24;
  run.options.show_progress = false;
  run.record = runLoad(run.workload, run.options);
  run.result = summarise(run.workload, run.options, {"test.yaml", {"0.1:fault"}}, run.record);
  server.stop();
  return run;
}

uint64_t outcomeCount(const Run& run, const char* name) {
  return run.result["outcomes"].value(name, uint64_t{0});
}

TEST_CASE("a faultless router gives every arrival once, complete and without violations") {
  const Run run = runAgainst(FaultyRouter::Fault::kNone);
  WorkloadGenerator generator(run.workload, run.options.rate, run.options.seed);
  for (const RequestOutcome& outcome : run.record.outcomes) {
    REQUIRE(outcome.arrival.number == generator.next().number);
    REQUIRE(outcome.outcome == OutcomeClass::kComplete);
    REQUIRE(*outcome.first_token >= outcome.sent);
    REQUIRE(outcome.sent >= outcome.arrival.time);
  }
  CHECK(generator.next().time >= run.options.length);
  CHECK(run.record.outcomes.size() > 100);
  CHECK(run.record.has_action_audit);
  CHECK(violationCount(run.result) == 0);
  CHECK(run.result["prefix_hit_rate"].get<double>() == Approx(0.5).epsilon(0.01));
}

TEST_CASE("each fault is seen as what it is") {
  const Run swapped = runAgainst(FaultyRouter::Fault::kSwap);
  CHECK(swapped.result["violations"]["out_of_order"].get<uint64_t>() > 0);
  const Run refused = runAgainst(FaultyRouter::Fault::kRefuse);
  CHECK(refused.result["errors"].value("resource_exhausted/ran=no", 0) > 0);
  CHECK(outcomeCount(refused, "refused") > 0);
  CHECK(violationCount(refused.result) == 0);
  const Run cut = runAgainst(FaultyRouter::Fault::kCut);
  CHECK(outcomeCount(cut, "cut") > 0);
  CHECK(violationCount(cut.result) == 0);
  const Run doubled = runAgainst(FaultyRouter::Fault::kRunTwice);
  CHECK(doubled.result["violations"]["action_doubled"].get<uint64_t>() > 0);
  const Run denied = runAgainst(FaultyRouter::Fault::kFalseNotRun);
  CHECK(denied.result["violations"]["false_not_run"].get<uint64_t>() > 0);
}

TEST_CASE(
    "latency counts from the intended time, waste from what was sent before, ratios from the baseline") {
  const Workload workload = parseWorkload(kWorkload, "test.yaml").value();
  RunRecord record;
  RequestOutcome& outcome = record.outcomes.emplace_back();
  outcome.arrival.time = absl::Seconds(1);
  outcome.sent = absl::Seconds(4);  // the tool was late: this must count against the result
  outcome.first_token = absl::Seconds(5);
  outcome.ended = absl::Seconds(6);
  outcome.outcome = OutcomeClass::kComplete;
  outcome.tokens = 3;
  outcome.usage = Usage{1000, 300, 3};
  outcome.reusable_tokens = 500;
  const nlohmann::json result = summarise(workload, DriverOptions{}, RunDescription{}, record);
  CHECK(result["time_to_first_token_seconds"]["p95"] == 4.0);
  CHECK(result["late_send_seconds"]["max"] == 3.0);
  CHECK(result["wasted_tokens"] == 200);
  CHECK(result["prefix_hit_rate"] == Approx(0.3));
  nlohmann::json baseline = result;
  baseline["time_to_first_token_seconds"]["p95"] = 2.0;
  CHECK_THAT(compareWithBaseline(result, baseline), Catch::Contains("= 2.000"));
}

TEST_CASE("addresses that are not IP:PORT are refused") {
  CHECK(parseAddresses("127.0.0.1:80,10.0.0.1:9").value().size() == 2);
  for (const char* wrong :
       {"", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:65536", "1.1.1.1:1,"}) {
    CHECK(parseAddresses(wrong).has_error());
  }
}

}  // namespace
}  // namespace quincewick::loadgen
