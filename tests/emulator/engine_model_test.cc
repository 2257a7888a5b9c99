#include "emulator/engine_model.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <list>
#include <map>
#include <set>

namespace quincewick::emulator {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);
const ModelName kModel("base");
constexpr uint64_t kSalt = 11;
constexpr uint32_t kBlockSize = 16;
// More wakeups than any of these runs can need.
constexpr int kWakeupBound = 20'000;

EngineSettings smallSettings() {
  EngineSettings settings;
  settings.block_size = kBlockSize;
  settings.cache_capacity_blocks = 6;
  settings.maximum_running = 3;
  settings.maximum_waiting = 1000;
  settings.prefill_chunk_tokens = 40;
  settings.cache_event_delay = absl::ZeroDuration();
  settings.cache_event_log = 100'000;
  return settings;
}

EngineModel makeEngine(const EngineSettings& settings) {
  EngineModel engine(std::make_shared<EngineSettings>(settings), Incarnation(1), 5, kStart);
  engine.addModel(LoadedModel{kModel, WeightsVersion(1), {}});
  return engine;
}

// A prompt of `length` blocks in a tree where `branch` names the path: prompts share their common path.
PrefixChain promptOf(const std::vector<uint8_t>& path, uint32_t tail) {
  PrefixChain chain;
  chain.block_size = kBlockSize;
  chain.tail_size = tail % kBlockSize;
  uint64_t name = 1;
  for (const uint8_t step : path) {
    name = name * 3 + step % 2 + 1;
    chain.blocks.push_back(BlockKey{name, 0});
  }
  return chain;
}

EngineRequest requestOf(uint64_t id, PrefixChain prompt, uint32_t output, uint8_t priority = 1) {
  EngineRequest request;
  request.id = EngineRequestId(id);
  request.model = kModel;
  request.priority = priority;
  request.salt = kSalt;
  request.prompt = std::move(prompt);
  request.output_tokens = output;
  return request;
}

template <class Action>
std::vector<Action> actionsOf(const std::vector<EngineAction>& actions) {
  std::vector<Action> found;
  for (const EngineAction& action : actions) {
    if (const auto* alternative = std::get_if<Action>(&action)) {
      found.push_back(*alternative);
    }
  }
  return found;
}

absl::Time runToRest(EngineModel& engine, absl::Time now, std::vector<EngineAction>& actions) {
  for (int count = 0; engine.nextWakeup() < absl::InfiniteFuture(); ++count) {
    REQUIRE(count < kWakeupBound);
    now = engine.nextWakeup();
    engine.handle(Wakeup{}, now, actions);
  }
  return now;
}

// The blocks that the event log says are held.
std::set<BlockKey> blocksByEvents(const EngineModel& engine, absl::Time now) {
  std::set<BlockKey> held;
  for (const CacheEvent& event : engine.cacheEvents(Sequence(0), 100'000, now)) {
    if (event.kind == CacheEventKind::kStored) {
      CHECK(held.insert(event.block).second);
    } else {
      CHECK(held.erase(event.block) == 1);
    }
  }
  return held;
}

// A cache in its plainest form: the most recently used block first.
struct OracleCache {
  std::list<BlockKey> blocks;

  bool has(const BlockKey& key) const { return std::find(blocks.begin(), blocks.end(), key) != blocks.end(); }
  uint64_t prefix(const PrefixChain& prompt) const {
    const auto end = std::find_if_not(prompt.blocks.begin(), prompt.blocks.end(),
                                      [&](const BlockKey& key) { return has(key); });
    return static_cast<uint64_t>(end - prompt.blocks.begin());
  }
  // After a request its blocks are the newest, the first of them newest of all.
  void use(const PrefixChain& prompt, size_t capacity) {
    const size_t kept = std::min(capacity, prompt.blocks.size());
    for (size_t index = 0; index < kept; ++index) {
      blocks.remove(prompt.blocks[index]);
    }
    blocks.insert(blocks.begin(), prompt.blocks.begin(),
                  prompt.blocks.begin() + static_cast<std::ptrdiff_t>(kept));
    blocks.resize(std::min(blocks.size(), capacity));
  }
};

TEST_CASE("one request after another finds exactly the longest prefix that a plain LRU cache holds") {
  rc::prop("cached tokens", [](const std::vector<std::pair<std::vector<uint8_t>, uint8_t>>& prompts) {
    EngineModel engine = makeEngine(smallSettings());
    OracleCache oracle;
    absl::Time now = kStart;
    uint64_t id = 0;
    for (const auto& [path, tail] : prompts) {
      const PrefixChain prompt = promptOf(path, tail);
      std::vector<EngineAction> actions;
      engine.handle(SubmitRequest{requestOf(++id, prompt, 3)}, now, actions);
      now = runToRest(engine, now, actions);
      const auto finished = actionsOf<RequestFinished>(actions);
      RC_ASSERT(finished.size() == 1u);
      RC_ASSERT(finished[0].cached_tokens == oracle.prefix(prompt) * kBlockSize);
      oracle.use(prompt, smallSettings().cache_capacity_blocks);
      RC_ASSERT(engine.currentLoad().cached_blocks == oracle.blocks.size());
    }
    const std::set<BlockKey> expected(oracle.blocks.begin(), oracle.blocks.end());
    RC_ASSERT(blocksByEvents(engine, now) == expected);
  });
}

// What a reader has seen of one request.
struct Seen {
  uint32_t output = 0;
  uint32_t tokens = 0;
  bool first = false;
  int ends = 0;
};

class ConcurrentRun {
 public:
  ConcurrentRun() : engine_(makeEngine(smallSettings())) {}

  void submit() {
    const auto path = *rc::gen::container<std::vector<uint8_t>>(rc::gen::inRange<uint8_t>(0, 2));
    const auto output = *rc::gen::inRange<uint32_t>(1, 40);
    const auto priority = *rc::gen::inRange<uint8_t>(0, 3);
    const auto id = static_cast<uint64_t>(seen_.size() + 1);
    seen_[id].output = output;
    apply(SubmitRequest{requestOf(id, promptOf(path, output), output, priority)});
  }

  void cancel() {
    if (!seen_.empty()) {
      apply(CancelRequest{EngineRequestId(*rc::gen::inRange<uint64_t>(1, seen_.size() + 1))});
    }
  }

  void setPace() {
    apply(SetPace{*rc::gen::element(0.5, 1.0, 7.0, std::numeric_limits<double>::infinity())});
  }
  void crash() {
    apply(Crash{});
    for (const auto& [id, seen] : seen_) {
      RC_ASSERT(seen.ends == 1);
    }
    apply(Restart{engine_.incarnation().next()});
  }

  void pass() {
    now_ += absl::Milliseconds(*rc::gen::inRange(0, 400));
    apply(Wakeup{});
  }

  void apply(EngineEvent event) {
    std::vector<EngineAction> actions;
    engine_.handle(std::move(event), now_, actions);
    look(actions);
    check();
  }

  void finish() {
    apply(SetPace{1.0});
    std::vector<EngineAction> actions;
    now_ = runToRest(engine_, now_, actions);
    look(actions);
    for (const auto& [id, seen] : seen_) {
      RC_ASSERT(seen.ends == 1);
    }
    RC_ASSERT(engine_.currentLoad().running == 0u);
    RC_ASSERT(engine_.currentLoad().waiting == 0u);
    RC_ASSERT(engine_.counters().violations.total() == 0u);
  }

 private:
  void look(const std::vector<EngineAction>& actions) {
    for (const FirstToken& first : actionsOf<FirstToken>(actions)) {
      RC_ASSERT(!seen_[first.id.value()].first);
      seen_[first.id.value()].first = true;
    }
    for (const RequestFinished& finished : actionsOf<RequestFinished>(actions)) {
      Seen& seen = seen_[finished.id.value()];
      RC_ASSERT(seen.first);
      RC_ASSERT(++seen.ends == 1);
    }
    for (const RequestAborted& aborted : actionsOf<RequestAborted>(actions)) {
      Seen& seen = seen_[aborted.id.value()];
      RC_ASSERT(aborted.tokens >= seen.tokens);
      RC_ASSERT(aborted.tokens < seen.output);
      RC_ASSERT(++seen.ends == 1);
    }
    for (const RequestRefused& refused : actionsOf<RequestRefused>(actions)) {
      RC_ASSERT(++seen_[refused.id.value()].ends == 1);
    }
  }

  void check() {
    const EngineLoad load = engine_.currentLoad();
    RC_ASSERT(load.cached_blocks <= load.cache_capacity_blocks);
    RC_ASSERT(load.running <= smallSettings().maximum_running);
    RC_ASSERT(load.waiting == 0u || load.running == smallSettings().maximum_running);
    RC_ASSERT(blocksByEvents(engine_, now_).size() == load.cached_blocks);
    for (auto& [id, seen] : seen_) {
      const auto progress = engine_.progress(EngineRequestId(id), now_);
      RC_ASSERT(progress.has_value() == (seen.ends == 0));
      if (progress) {
        RC_ASSERT(progress->tokens >= seen.tokens);
        RC_ASSERT(progress->tokens < seen.output);
        RC_ASSERT((progress->tokens > 0) == seen.first);
        seen.tokens = progress->tokens;
      }
    }
  }

  EngineModel engine_;
  absl::Time now_ = kStart;
  std::map<uint64_t, Seen> seen_;
};

TEST_CASE(
    "under any mix of work, cancels, pace and crashes each request ends once, in order, within bounds") {
  rc::prop("concurrent requests", [] {
    ConcurrentRun run;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
    for (const int step : steps) {
      if (step < 9) {
        run.submit();
      } else if (step < 15) {
        run.pass();
      } else if (step < 18) {
        run.cancel();
      } else if (step < 19) {
        run.setPace();
      } else {
        run.crash();
      }
    }
    run.finish();
  });
}

TEST_CASE("a more urgent request overtakes prompts in work and displaces decoding ones from a full batch") {
  EngineModel engine = makeEngine(smallSettings());
  std::vector<EngineAction> actions;
  const std::vector<uint8_t> long_path(40, 1);
  for (uint64_t id = 1; id <= 3; ++id) {
    engine.handle(SubmitRequest{requestOf(id, promptOf({}, id), 1000, 2)}, kStart, actions);
  }
  engine.handle(Wakeup{}, kStart + absl::Seconds(1), actions);
  REQUIRE(actionsOf<FirstToken>(actions).size() == 3);
  actions.clear();
  engine.handle(SubmitRequest{requestOf(4, promptOf(long_path, 0), 5, 1)}, kStart + absl::Seconds(1),
                actions);
  engine.handle(SubmitRequest{requestOf(5, promptOf({}, 5), 5, 0)}, kStart + absl::Seconds(1), actions);
  runToRest(engine, kStart + absl::Seconds(1), actions);
  std::vector<uint64_t> order;
  for (const RequestFinished& finished : actionsOf<RequestFinished>(actions)) {
    order.push_back(finished.id.value());
  }
  REQUIRE(order.size() == 5);
  CHECK(order[0] == 5);
  CHECK(order[1] == 4);
}

TEST_CASE("time to first token follows from the uncached tokens, and each later token takes one step") {
  const EngineSettings settings = smallSettings();
  const absl::Duration step = settings.step_base + settings.step_per_request;
  const absl::Duration chunk_step =
      settings.step_base + settings.prefill_per_token * int64_t{settings.prefill_chunk_tokens};
  EngineModel engine = makeEngine(settings);
  std::vector<EngineAction> actions;
  const PrefixChain prompt = promptOf({1, 1, 1, 1, 1}, 0);  // 80 tokens: two chunks
  engine.handle(SubmitRequest{requestOf(1, prompt, 11)}, kStart, actions);
  const absl::Time end = runToRest(engine, kStart, actions);
  CHECK(actionsOf<FirstToken>(actions).at(0).at == kStart + 2 * chunk_step);
  CHECK(end == kStart + 2 * chunk_step + 10 * step);

  // The second time all but the last token is found; half-way its pace is halved.
  actions.clear();
  engine.handle(SubmitRequest{requestOf(2, prompt, 11)}, end, actions);
  const absl::Time first = end + settings.step_base + settings.prefill_per_token;
  engine.handle(SetPace{2.0}, first + 5 * step, actions);
  CHECK(actionsOf<FirstToken>(actions).at(0).at == first);
  CHECK(engine.progress(EngineRequestId(2), first + 5 * step)->tokens == 6);
  CHECK(engine.progress(EngineRequestId(2), first + 5 * step)->next_token == first + 7 * step);
  CHECK(absl::AbsDuration(runToRest(engine, end, actions) - (first + 15 * step)) < absl::Microseconds(10));
}

TEST_CASE("load reports show the state at the last multiple of their period") {
  EngineSettings settings = smallSettings();
  settings.load_report_period = absl::Milliseconds(100);
  EngineModel engine = makeEngine(settings);
  std::vector<EngineAction> actions;
  const auto at = [](int milliseconds) { return kStart + absl::Milliseconds(milliseconds); };
  engine.handle(SubmitRequest{requestOf(1, promptOf({}, 5), 100'000)}, at(30), actions);
  CHECK(engine.currentLoad().running == 1);
  CHECK(engine.reportedLoad(at(99)).running == 0);
  CHECK(engine.reportedLoad(at(100)).running == 1);
  engine.handle(CancelRequest{EngineRequestId(1)}, at(250), actions);
  CHECK(engine.reportedLoad(at(299)).running == 1);
  CHECK(engine.reportedLoad(at(300)).running == 0);
}

TEST_CASE("cache events come late, in order, and with gaps where they were lost") {
  EngineSettings settings = smallSettings();
  settings.cache_event_delay = absl::Seconds(1);
  settings.cache_event_loss = 0.3;
  EngineModel engine = makeEngine(settings);
  std::vector<EngineAction> actions;
  absl::Time now = kStart;
  uint64_t id = 0;
  const auto run = [&](uint8_t path) {
    const auto bit = [&](int place) { return static_cast<uint8_t>(path >> place & 1); };
    actions.clear();
    engine.handle(SubmitRequest{requestOf(++id, promptOf({bit(0), bit(1), bit(2), bit(3)}, 0), 1)}, now,
                  actions);
    now = runToRest(engine, now, actions);
  };
  run(0);
  CHECK(engine.cacheEvents(Sequence(0), 100, now).empty());
  for (uint8_t path = 1; path < 100; ++path) {
    run(path);
  }
  engine.handle(DropCacheEvents{absl::InfiniteFuture()}, now, actions);
  const size_t before = engine.cacheEvents(Sequence(0), 100'000, now + absl::Seconds(1)).size();
  run(3);
  run(12);
  const std::vector<CacheEvent> events = engine.cacheEvents(Sequence(0), 100'000, now + absl::Seconds(1));
  CHECK(events.size() == before);
  for (size_t index = 1; index < events.size(); ++index) {
    CHECK(events[index - 1].sequence < events[index].sequence);
  }
  const auto last = static_cast<double>(events.back().sequence.value());
  CHECK(static_cast<double>(events.size()) > 0.6 * last);
  CHECK(static_cast<double>(events.size()) < 0.8 * last);
  const std::vector<CacheEvent> page = engine.cacheEvents(events[4].sequence, 3, now + absl::Seconds(1));
  REQUIRE(page.size() == 3);
  CHECK(page[0].sequence == events[5].sequence);
}

TEST_CASE("imported blocks are used after their transfer, and refused under other weights") {
  EngineModel engine = makeEngine(smallSettings());
  std::vector<EngineAction> actions;
  const PrefixChain prompt = promptOf({1, 0, 1}, 4);
  engine.handle(ImportBlocks{prompt.blocks, kModel, kSalt, WeightsVersion(2)}, kStart, actions);
  CHECK_FALSE(actionsOf<ImportAnswered>(actions).at(0).usable_at);
  engine.handle(ImportBlocks{prompt.blocks, kModel, kSalt, WeightsVersion(1)}, kStart, actions);
  const absl::Time usable_at = *actionsOf<ImportAnswered>(actions).at(1).usable_at;
  CHECK(usable_at == kStart + 3 * smallSettings().transfer_per_block);
  CHECK(engine.heldPrefix(prompt.blocks, kSalt, WeightsVersion(1)) == 0);
  engine.handle(Wakeup{}, usable_at, actions);
  CHECK(engine.heldPrefix(prompt.blocks, kSalt, WeightsVersion(1)) == 3);
  engine.handle(SubmitRequest{requestOf(1, prompt, 1)}, usable_at, actions);
  runToRest(engine, usable_at, actions);
  CHECK(actionsOf<RequestFinished>(actions).at(0).cached_tokens == 3 * kBlockSize);
}

TEST_CASE("new weights serve what comes after them; what runs keeps its own") {
  EngineModel engine = makeEngine(smallSettings());
  std::vector<EngineAction> actions;
  engine.handle(SubmitRequest{requestOf(1, promptOf({}, 1), 100)}, kStart, actions);
  engine.handle(
      EngineOrder{Epoch(1), Sequence(1), OrderKind::kLoadWeights, kModel, WeightsVersion(2), {}, ""}, kStart,
      actions);
  REQUIRE(actionsOf<StartWeightLoad>(actions).size() == 1);
  engine.handle(SubmitRequest{requestOf(2, promptOf({}, 1), 1)}, kStart, actions);
  CHECK(actionsOf<RequestRefused>(actions).at(0).reason == RefusalReason::kLoadingWeights);
  engine.handle(WeightsLoaded{Incarnation(7), kModel, WeightsVersion(2)}, kStart, actions);
  CHECK(engine.models()[0].weights_version == WeightsVersion(1));  // of another life of the engine
  engine.handle(WeightsLoaded{Incarnation(1), kModel, WeightsVersion(2)}, kStart, actions);
  EngineRequest stale = requestOf(3, promptOf({}, 1), 1);
  stale.wanted_weights = WeightsVersion(1);
  engine.handle(SubmitRequest{stale}, kStart, actions);
  CHECK(actionsOf<RequestRefused>(actions).at(1).reason == RefusalReason::kWrongWeights);
  engine.handle(SubmitRequest{requestOf(4, promptOf({}, 1), 1)}, kStart, actions);
  const auto accepted = actionsOf<RequestAccepted>(actions);
  CHECK(accepted.at(0).weights_version == WeightsVersion(1));
  CHECK(accepted.at(1).weights_version == WeightsVersion(2));
  runToRest(engine, kStart, actions);
  CHECK(actionsOf<RequestFinished>(actions).size() == 2);
}

TEST_CASE("a block of another salt, weights version or incarnation is not used and is counted") {
  const PrefixChain prompt = promptOf({1, 1}, 3);
  EngineModel engine = makeEngine(smallSettings());
  std::vector<EngineAction> actions;
  absl::Time now = kStart;
  uint64_t id = 0;
  const auto run = [&](uint64_t salt) {
    EngineRequest request = requestOf(++id, prompt, 2);
    request.salt = salt;
    actions.clear();
    engine.handle(SubmitRequest{std::move(request)}, now, actions);
    now = runToRest(engine, now, actions);
    return actionsOf<RequestFinished>(actions).at(0).cached_tokens;
  };
  CHECK(run(kSalt) == 0);
  CHECK(run(kSalt) == 2 * kBlockSize);
  CHECK(engine.counters().violations.total() == 0);

  CHECK(run(kSalt + 1) == 0);
  CHECK(engine.counters().violations.salt == 1);

  const WeightsVersion newer(2);
  engine.handle(EngineOrder{Epoch(1), Sequence(1), OrderKind::kLoadWeights, kModel, newer, {}, ""}, now,
                actions);
  engine.handle(WeightsLoaded{engine.incarnation(), kModel, newer}, now, actions);
  CHECK(run(kSalt + 1) == 0);
  CHECK(engine.counters().violations.weights_version == 1);

  engine.handle(Crash{}, now, actions);
  engine.handle(Restart{Incarnation(2), true}, now, actions);
  CHECK(run(kSalt + 1) == 0);
  CHECK(engine.counters().violations.incarnation == 1);

  engine.handle(Crash{}, now, actions);
  engine.handle(Restart{Incarnation(3), false}, now, actions);
  CHECK(run(kSalt + 1) == 0);
  CHECK(engine.counters().violations.total() == 3);
}

TEST_CASE("only the greatest epoch and sequence is obeyed, and a repeat gets the stored outcome") {
  rc::prop("fenced orders", [](const std::vector<std::pair<uint8_t, uint8_t>>& places) {
    EngineModel engine = makeEngine(smallSettings());
    std::pair<uint64_t, uint64_t> last{0, 0};
    std::string role;
    for (const auto& [epoch, sequence] : places) {
      const std::pair<uint64_t, uint64_t> place{epoch % 4 + 1, sequence % 4};
      const std::string wanted = std::to_string(place.first) + "/" + std::to_string(place.second);
      std::vector<EngineAction> actions;
      engine.handle(
          EngineOrder{Epoch(place.first), Sequence(place.second), OrderKind::kSetRole, {}, {}, {}, wanted},
          kStart, actions);
      const OrderOutcome outcome = actionsOf<OrderAnswered>(actions).at(0).outcome;
      RC_ASSERT(outcome == (place >= last ? OrderOutcome::kDone : OrderOutcome::kFenced));
      role = place >= last ? wanted : role;
      last = std::max(last, place);
      RC_ASSERT(engine.role() == role);
    }
  });
}

}  // namespace
}  // namespace quincewick::emulator
