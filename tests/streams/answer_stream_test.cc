#include "streams/answer_stream.h"

#include <absl/strings/str_cat.h>
#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace quincewick::streams {
namespace {

std::string tokenAt(uint64_t offset) {
  return absl::StrCat("t", offset, " ");
}

// One step of a schedule: the kind of event, and a number that selects among its variants.
struct Step {
  uint8_t kind = 0;
  uint32_t pick = 0;
};

void showValue(const Step& step, std::ostream& out) {
  out << int{step.kind} << ":" << step.pick;
}

// Simulates engines that give the same answer, a network that loses, duplicates and reorders events, and a
// caller that checks what it receives.
class StreamHarness {
 public:
  StreamHarness(uint64_t answer_size, const AnswerOptions& options)
      : answer_size_(answer_size), options_(options), stream_(options) {
    feed(RequestOpened{});
  }

  void step(const Step& step) {
    switch (step.kind) {
      case 0:
      case 1:
      case 2:
      case 3:
        emit(step.pick);
        break;
      case 4:
      case 5:
      case 6:
      case 7:
        deliver(step.pick, step.pick % 7 == 0, step.pick % 11 == 0);
        break;
      case 8:
        lose(step.pick);
        break;
      case 9:
        feed(HedgeAllowed{});
        break;
      case 10:
        drain(step.pick % 64);
        break;
      case 11:
        callerLeavesOrReturns(step.pick);
        break;
      default:
        feed(EngineStarted{AttemptNumber(step.pick % 6)});
    }
  }

  // Runs with a fault-free network until the answer ends.
  void settle() {
    for (uint64_t round = 0; round < 40 * (answer_size_ + 4) && !ended_ && !cut_; ++round) {
      if (!connected_) {
        connected_ = true;
        feed(CallerResumed{received_});
      }
      emit(0);
      deliver(0, false, false);
      drain(1000);
    }
  }

  bool ended() const { return ended_; }
  bool cut() const { return cut_; }
  bool connected() const { return connected_; }
  uint64_t received() const { return received_; }
  // Engines whose work was not cancelled and whose end the node hasn't received.
  int64_t running() const {
    return std::count_if(engines_.begin(), engines_.end(),
                         [](const auto& entry) { return !entry.second.finished; });
  }

 private:
  struct Engine {
    uint64_t next = 0;  // offset of the token that it sends next
    bool reading = true;
    bool finished = false;  // the node received its end after all tokens: nothing is left to cancel
  };

  void feed(const AnswerEvent& event) {
    const bool at_end = noteEnd(event);
    for (const AnswerAction& action : stream_.handle(event)) {
      std::visit([this](const auto& one) { carryOut(one); }, action);
    }
    RC_ASSERT(!at_end || running() == 0);  // no hedged attempt outlives the end
    RC_ASSERT(unsent_ <= options_.unsent_limit_bytes + tokenAt(answer_size_).size());
  }

  // Whether the event is the end from a live engine, with all tokens before it received by the node.
  bool noteEnd(const AnswerEvent& event) {
    const auto* end = std::get_if<EngineEnd>(&event);
    if (end == nullptr || stream_.transcript().tokenCount() != answer_size_) {
      return false;
    }
    const auto engine = engines_.find(end->attempt);
    if (engine == engines_.end()) {
      return false;
    }
    engine->second.finished = true;
    return true;
  }

  void carryOut(const DeliverToken& token) {
    RC_ASSERT(connected_ && !ended_ && !cut_);
    RC_ASSERT(engines_.size() <= 1u);  // the other hedged attempts are cancelled before the first token
    RC_ASSERT(token.offset == received_);
    RC_ASSERT(token.text == tokenAt(received_));
    ++received_;
    unsent_ += token.text.size();
  }
  void carryOut(const DeliverEnd& end) {
    RC_ASSERT(connected_ && !ended_ && !cut_);
    RC_ASSERT(received_ == answer_size_);
    RC_ASSERT(end.end.token_count == answer_size_);
    RC_ASSERT(running() == 0);
    ended_ = true;
  }
  void carryOut(const DeliverCut& /*cut*/) {
    RC_ASSERT(connected_ && !ended_ && !cut_);
    cut_ = true;
  }
  void carryOut(const ResumeAtEngine& resume) {
    RC_ASSERT(engines_.count(resume.attempt) == 1u);
    RC_ASSERT(resume.from_offset <= answer_size_);
    engines_[resume.attempt] = Engine{resume.from_offset};
    in_flight_.push_back(EngineStarted{resume.attempt});
  }
  void carryOut(const StartAttempt& start) {
    RC_ASSERT(seen_attempts_.insert({start.attempt, true}).second);
    std::string expected;
    for (uint64_t offset = 0; offset < start.from_offset; ++offset) {
      expected += tokenAt(offset);
    }
    RC_ASSERT(start.generated_prefix == expected);
    engines_[start.attempt] = Engine{start.from_offset};
  }
  void carryOut(const CancelAtEngine& cancel) { engines_.erase(cancel.attempt); }
  void carryOut(const PauseReading& pause) { engines_.at(pause.attempt).reading = false; }
  void carryOut(const ResumeReading& resume) { engines_.at(resume.attempt).reading = true; }

  // Sends the engine's next token or its end into the network. An end is sent repeatedly, as after a resume.
  void emit(uint32_t pick) {
    if (engines_.empty()) {
      return;
    }
    auto& [attempt, engine] = *std::next(engines_.begin(), pick % engines_.size());
    if (!engine.reading) {
      return;
    }
    if (engine.next < answer_size_) {
      in_flight_.push_back(EngineToken{attempt, engine.next, tokenAt(engine.next)});
      ++engine.next;
    } else if (in_flight_.size() < 50) {
      in_flight_.push_back(EngineEnd{attempt, answer_size_, FinishReason::kStop, Usage{}});
    }
  }

  void deliver(uint32_t pick, bool lost, bool again) {
    if (in_flight_.empty()) {
      return;
    }
    // Mostly in order, sometimes reordered.
    const auto chosen = in_flight_.begin() + (pick % 5 == 1 ? pick % in_flight_.size() : 0);
    const AnswerEvent event = *chosen;
    if (!again) {
      in_flight_.erase(chosen);
    }
    // Tokens may get lost between engine and node; the start of a connection is the node's own knowledge.
    if (!lost || std::holds_alternative<EngineStarted>(event)) {
      feed(event);
    }
  }

  void lose(uint32_t pick) {
    const AttemptNumber attempt(pick % 6);
    const ErrorCode code = pick % 2 == 0 ? ErrorCode::kUnavailable : ErrorCode::kNotFound;
    if (code == ErrorCode::kNotFound) {
      engines_.erase(attempt);
    }
    feed(EngineLost{attempt, Error{code, "lost", Execution::kUnknown}});
  }

  void drain(uint64_t bytes) {
    const uint64_t drained = std::min(bytes, unsent_);
    unsent_ -= drained;
    feed(CallerDrained{drained});
  }

  void callerLeavesOrReturns(uint32_t pick) {
    if (ended_ || cut_) {
      return;
    }
    unsent_ = 0;
    if (connected_) {
      connected_ = false;
      feed(CallerGone{});
      RC_ASSERT(running() == 0);
      return;
    }
    connected_ = true;
    received_ -= std::min<uint64_t>(received_, pick % 3);  // tokens in flight are lost
    feed(CallerResumed{received_});
  }

  uint64_t answer_size_;
  AnswerOptions options_;
  AnswerStream stream_;
  std::map<AttemptNumber, Engine> engines_;
  std::map<AttemptNumber, bool> seen_attempts_;
  std::vector<AnswerEvent> in_flight_;
  bool connected_ = true;
  bool ended_ = false;
  bool cut_ = false;
  uint64_t received_ = 0;
  uint64_t unsent_ = 0;
};

std::vector<Step> anySchedule() {
  const auto step = rc::gen::apply(
      [](uint8_t kind, uint32_t pick) {
        return Step{kind, pick};
      },
      rc::gen::inRange<uint8_t>(0, 13), rc::gen::inRange<uint32_t>(0, 1000));
  return *rc::gen::container<std::vector<Step>>(200, step);
}

TEST_CASE("under any schedule the caller gets the tokens in order without gaps, and one end after the last") {
  rc::prop("complete, in order, one end", [] {
    AnswerOptions options;
    options.unsent_limit_bytes = *rc::gen::inRange<uint64_t>(1, 40);
    options.backlog_limit_bytes = *rc::gen::inRange<uint64_t>(1, 80);
    StreamHarness harness(*rc::gen::inRange<uint64_t>(0, 30), options);
    for (const Step& step : anySchedule()) {
      harness.step(step);
    }
    harness.settle();
    RC_ASSERT(harness.ended() || harness.cut());
    RC_ASSERT(harness.running() == 0);
  });
}

TEST_CASE("with generous limits the answer ends under any schedule") {
  rc::prop("ends", [] {
    AnswerOptions options;
    options.maximum_attempts = 10000;
    options.maximum_resumes = 10000;
    options.maximum_reconnects = 10000;
    options.unsent_limit_bytes = *rc::gen::inRange<uint64_t>(1, 40);
    options.backlog_limit_bytes = *rc::gen::inRange<uint64_t>(1, 80);
    StreamHarness harness(*rc::gen::inRange<uint64_t>(0, 30), options);
    for (const Step& step : anySchedule()) {
      harness.step(step);
    }
    harness.settle();
    RC_ASSERT(harness.ended());
    RC_ASSERT(harness.running() == 0);
  });
}

// Guards against counting an engine that has sent its end among those whose work must be cancelled.
TEST_CASE(
    "a caller that disconnects after the engine's end leaves nothing to cancel and gets the remaining tokens "
    "later") {
  AnswerStream stream(AnswerOptions{.unsent_limit_bytes = 1});
  stream.handle(RequestOpened{});
  stream.handle(EngineToken{AttemptNumber(1), 0, tokenAt(0)});
  stream.handle(EngineToken{AttemptNumber(1), 1, tokenAt(1)});
  stream.handle(EngineEnd{AttemptNumber(1), 2, FinishReason::kStop, Usage{}});
  REQUIRE_FALSE(stream.finished());
  CHECK(stream.handle(CallerGone{}).empty());
  const AnswerActions actions = stream.handle(CallerResumed{1});
  REQUIRE(actions.size() == 2);
  CHECK(std::get<DeliverToken>(actions[0]).offset == 1);
  CHECK(std::get<DeliverEnd>(actions[1]).end.token_count == 2);
}

TEST_CASE("when the limits are used up, the caller gets an error that says whether anything ran") {
  AnswerStream stream(AnswerOptions{.maximum_attempts = 2});
  stream.handle(RequestOpened{});
  const Error refused{ErrorCode::kUnavailable, "connection refused", Execution::kNotRun};
  stream.handle(EngineLost{AttemptNumber(1), refused});
  const AnswerActions actions = stream.handle(EngineLost{AttemptNumber(2), refused});
  REQUIRE(actions.size() == 1);
  CHECK(std::get<DeliverCut>(actions[0]).error.execution == Execution::kNotRun);
  CHECK(stream.finished());
}

}  // namespace
}  // namespace quincewick::streams
