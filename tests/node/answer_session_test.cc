#include "node/answer_session.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>

#include "node/kept_answers.h"
#include "node/worker_pool.h"

namespace quincewick::node {
namespace {

using streams::EngineEnd;
using streams::EngineLost;
using streams::EngineToken;

// What one engine does with the attempts sent to it: so many tokens, then the end, or a loss.
struct ScriptedEngine {
  uint64_t tokens_until_lost = UINT64_MAX;
  std::optional<Error> refusal;
  uint64_t answer_tokens = 20;
};

constexpr uint64_t kAnswerTokens = 20;
constexpr uint64_t kEndless = UINT64_MAX;

std::string tokenText(uint64_t offset) {
  return absl::StrCat("t", offset, " ");
}

// Plays engines by port; records what it was asked.
class ScriptedChannel : public engine::EngineChannel {
 public:
  std::vector<ScriptedEngine> engines;

  void run(const Address& address, const engine::EngineRequest& request,
           engine::EngineEventSink& sink) override {
    {
      absl::MutexLock lock(&mutex_);
      runs_.push_back(request);
    }
    play(engines.at(address.port), request.attempt, request.resume_from, sink);
  }

  void resume(const Address& address, const engine::EngineRequest& request, uint64_t from_offset,
              engine::EngineEventSink& sink) override {
    static_cast<void>(address);
    static_cast<void>(from_offset);
    sink.onEvent(EngineLost{request.attempt, Error{ErrorCode::kNotFound, "restarted", Execution::kUnknown}});
  }

  Result<void> cancel(const Address& /*address*/, const RequestId& request) override {
    absl::MutexLock lock(&mutex_);
    cancelled_.push_back(request);
    return outcome::success();
  }

  Result<engine::EngineReport> report(const Address&) override {
    return fail(ErrorCode::kInternal, "unused");
  }
  Result<engine::CacheEventPage> cacheEvents(const Address&, Sequence, uint32_t) override {
    return fail(ErrorCode::kInternal, "unused");
  }
  Result<void> order(const Address&, const engine::EngineOrder&) override {
    return fail(ErrorCode::kInternal, "unused");
  }

  std::vector<engine::EngineRequest> runs() {
    absl::MutexLock lock(&mutex_);
    return runs_;
  }

  void awaitCancel() {
    absl::MutexLock lock(&mutex_);
    const auto any = [this] { return !cancelled_.empty(); };
    mutex_.Await(absl::Condition(&any));
  }

 private:
  static void play(const ScriptedEngine& engine, AttemptNumber attempt, uint64_t from,
                   engine::EngineEventSink& sink) {
    if (engine.refusal.has_value()) {
      sink.onEvent(EngineLost{attempt, *engine.refusal});
      return;
    }
    if (!sink.onEvent(streams::EngineStarted{attempt})) {
      return;
    }
    for (uint64_t offset = from; offset < engine.answer_tokens; ++offset) {
      if (offset - from >= engine.tokens_until_lost) {
        sink.onEvent(EngineLost{attempt, Error{ErrorCode::kUnavailable, "crashed", Execution::kUnknown}});
        return;
      }
      if (!sink.onEvent(EngineToken{attempt, offset, tokenText(offset)})) {
        return;
      }
    }
    sink.onEvent(EngineEnd{attempt, kAnswerTokens, FinishReason::kStop, Usage{}});
  }

  absl::Mutex mutex_;
  std::vector<engine::EngineRequest> runs_;
  std::vector<RequestId> cancelled_;
};

// Gives the engines in the order of their ports, skipping those tried.
class InOrderDirector : public AttemptDirector {
 public:
  explicit InOrderDirector(uint16_t engines) : engines_(engines) {}

  Result<AttemptTarget> chooseTarget(const std::vector<BackEndId>& tried) override {
    for (uint16_t port = 0; port < engines_; ++port) {
      const BackEndId engine(absl::StrCat("engine-", port));
      if (std::find(tried.begin(), tried.end(), engine) == tried.end()) {
        AttemptTarget target;
        target.engine = engine;
        target.address = Address{"127.0.0.1", port};
        return target;
      }
    }
    return fail(ErrorCode::kUnavailable, "no engine is left");
  }
  void onObservation(const AttemptTarget&, const engine::EngineObservation&) override {}
  void onFirstToken(const AttemptTarget&) override {}
  void onAttemptOver(const AttemptTarget&, const std::optional<Usage>&,
                     const std::optional<Error>&) override {
    ++attempts_over;
  }
  void onAnswerOver(const streams::Transcript& transcript, const std::optional<EndEvent>& end) override {
    kept = transcript;
    kept_end = end;
    ++answers_over;
  }

  // Written before answers_over is raised.
  streams::Transcript kept;
  std::optional<EndEvent> kept_end;
  std::atomic<int> attempts_over = 0;
  std::atomic<int> answers_over = 0;

 private:
  const uint16_t engines_;
};

struct SessionFixture {
  explicit SessionFixture(std::vector<ScriptedEngine> engines, bool open = true)
      : director(std::make_shared<InOrderDirector>(static_cast<uint16_t>(engines.size()))) {
    channel.engines = std::move(engines);
    engine::EngineRequest request;
    request.request = RequestId("r");
    session = std::make_shared<AnswerSession>(
        streams::AnswerOptions(), request, director,
        SessionResources{channel, [this](std::function<void()> task) { workers.submit(std::move(task)); },
                         [] { return absl::Now(); }},
        absl::Now() + absl::Hours(1));
    if (open) {
      session->open();
    }
  }

  // Reads until the last event; returns the text, or nothing if the answer was cut.
  std::optional<std::string> readAll() {
    std::string text;
    while (true) {
      for (const StreamEvent& event : session->next(absl::Hours(1))) {
        if (const auto* token = std::get_if<TokenEvent>(&event)) {
          text += token->text;
        } else if (std::holds_alternative<EndEvent>(event)) {
          return text;
        } else {
          return std::nullopt;
        }
      }
    }
  }

  ScriptedChannel channel;
  std::shared_ptr<InOrderDirector> director;
  WorkerPool workers{8};
  std::shared_ptr<AnswerSession> session;
};

std::string wholeAnswerText() {
  std::string text;
  for (uint64_t offset = 0; offset < kAnswerTokens; ++offset) {
    text += tokenText(offset);
  }
  return text;
}

TEST_CASE("an engine lost in mid-stream is continued elsewhere from what was generated") {
  SessionFixture fixture({{7, std::nullopt}, {}});
  CHECK(fixture.readAll() == wholeAnswerText());
  const auto runs = fixture.channel.runs();
  REQUIRE(runs.size() == 2);
  CHECK(runs[1].resume_from == 7);
  CHECK(runs[1].generated_prefix == wholeAnswerText().substr(0, runs[1].generated_prefix.size()));
  CHECK(runs[0].request != runs[1].request);
  CHECK(fixture.director->answers_over == 1);
}

TEST_CASE("a refusal that did not run is tried at the next engine before the caller hears of it") {
  const Error full{ErrorCode::kResourceExhausted, "full", Execution::kNotRun};
  SessionFixture fixture({{0, full}, {0, full}, {}});
  REQUIRE(fixture.session->awaitFirstEvent().has_value());
  CHECK(fixture.readAll() == wholeAnswerText());
}

TEST_CASE("when every engine refuses, the error says that it did not run") {
  const Error full{ErrorCode::kResourceExhausted, "full", Execution::kNotRun};
  SessionFixture fixture({{0, full}, {0, full}});
  const Result<void> first = fixture.session->awaitFirstEvent();
  REQUIRE(first.has_error());
  CHECK(first.error().execution == Execution::kNotRun);
}

TEST_CASE("an answer that can't be completed ends in a visible cut") {
  SessionFixture fixture({{3, std::nullopt}, {3, std::nullopt}});
  CHECK_FALSE(fixture.readAll().has_value());
}

TEST_CASE("a caller who goes away cancels the engine's work") {
  // Only the bound on what waits for the slow caller holds this engine back.
  SessionFixture fixture({{kEndless, std::nullopt, kEndless}});
  REQUIRE(fixture.session->awaitFirstEvent().has_value());
  fixture.session->abandon();
  fixture.channel.awaitCancel();
  CHECK(fixture.director->answers_over == 1);
}

TEST_CASE("a caller who comes back gets the rest, continued at an engine from what was kept") {
  const uint64_t offset_held_by_caller = GENERATE(0, 3, 7);
  streams::Transcript kept;
  for (uint64_t offset = 0; offset < 7; ++offset) {
    kept.append(tokenText(offset));
  }
  SessionFixture fixture({{}}, false);
  fixture.session->resumeFrom(kept, offset_held_by_caller);
  std::string expected;
  for (uint64_t offset = offset_held_by_caller; offset < kAnswerTokens; ++offset) {
    expected += tokenText(offset);
  }
  CHECK(fixture.readAll() == expected);
  CHECK(fixture.channel.runs().at(0).resume_from == 7);
}

TEST_CASE("what is kept of an abandoned answer is a beginning of it, without an end") {
  SessionFixture fixture({{kEndless, std::nullopt, kEndless}});
  REQUIRE(fixture.session->awaitFirstEvent().has_value());
  fixture.session->abandon();
  REQUIRE(fixture.director->answers_over == 1);
  CHECK_FALSE(fixture.director->kept_end.has_value());
  REQUIRE(fixture.director->kept.tokenCount() > 0);
  CHECK(fixture.director->kept.token(0) == tokenText(0));
}

TEST_CASE("a finished answer is given again from any offset without an engine") {
  streams::Transcript transcript;
  transcript.append("a");
  transcript.append("b");
  FinishedAnswerReader reader(transcript, EndEvent{2, FinishReason::kStop, Usage{}}, 1);
  const std::vector<StreamEvent> events = reader.next(absl::ZeroDuration());
  REQUIRE(events.size() == 2);
  CHECK(std::get<TokenEvent>(events[0]).text == "b");
  CHECK(std::get<EndEvent>(events[1]).token_count == 2);
}

TEST_CASE("a kept request survives its encoding, and a damaged one is refused") {
  http::CompletionCall call;
  call.id = RequestId("node~1");
  call.prompt = "prompt";
  call.urgency = Urgency::kUrgent;
  const std::string bytes = encodeCall(call);
  const Result<http::CompletionCall> decoded = decodeCall(bytes);
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().prompt == call.prompt);
  CHECK(decoded.value().urgency == call.urgency);
  CHECK(decodeCall(bytes.substr(0, bytes.size() / 2)).has_error());
}

}  // namespace
}  // namespace quincewick::node
