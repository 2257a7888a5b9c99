// What one EngineModel costs a simulation: time for each event and each request, and memory of each instance.
// The baseline is the plain way, one event for each step of the batch.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

#include "emulator/engine_model.h"

namespace quincewick::emulator {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);
constexpr uint32_t kOutputTokens = 264;  // 2.9 million tokens a second over 11,000 requests a second
constexpr uint32_t kPromptBlocks = 12;
constexpr uint32_t kTrunkBlocks = 10;  // shared by all requests of one trunk
constexpr uint32_t kTrunks = 8;
constexpr absl::Duration kBetweenRequests = absl::Milliseconds(1100);  // 11,000 a second over 12,000 engines

EngineModel makeEngine(uint64_t seed) {
  EngineModel engine(std::make_shared<EngineSettings>(), Incarnation(1), seed, kStart);
  engine.addModel(LoadedModel{ModelName("base"), WeightsVersion(1), {}});
  return engine;
}

EngineRequest makeRequest(uint64_t id) {
  EngineRequest request;
  request.id = EngineRequestId(id);
  request.model = ModelName("base");
  request.priority = static_cast<uint8_t>(id % 3);
  request.output_tokens = kOutputTokens;
  request.prompt.block_size = 4096;
  request.prompt.tail_size = 100;
  for (uint64_t block = 0; block < kPromptBlocks; ++block) {
    const bool shared = block < kTrunkBlocks;
    request.prompt.blocks.push_back(BlockKey{shared ? id % kTrunks : id + kTrunks, block});
  }
  return request;
}

// Runs requests that arrive at a steady pace; only what `step` decides differs.
template <class Step>
void runRequests(benchmark::State& state, Step step) {
  EngineModel engine = makeEngine(1);
  std::vector<EngineAction> actions;
  absl::Time now = kStart;
  uint64_t id = 0;
  uint64_t events = 0;
  for (auto _ : state) {
    actions.clear();
    engine.handle(SubmitRequest{makeRequest(++id)}, now, actions);
    ++events;
    now += kBetweenRequests;
    events += step(engine, now, actions);
    benchmark::DoNotOptimize(actions.data());
  }
  state.counters["events/s"] = benchmark::Counter(static_cast<double>(events), benchmark::Counter::kIsRate);
  state.counters["events/request"] = static_cast<double>(events) / static_cast<double>(id);
  state.counters["finished"] = static_cast<double>(engine.counters().finished);
}

void closedForm(benchmark::State& state) {
  runRequests(state, [](EngineModel& engine, absl::Time until, std::vector<EngineAction>& actions) {
    uint64_t events = 0;
    for (; engine.nextWakeup() <= until; ++events) {
      engine.handle(Wakeup{}, engine.nextWakeup(), actions);
    }
    return events;
  });
}
BENCHMARK(closedForm);

void eachStep(benchmark::State& state) {
  runRequests(state, [](EngineModel& engine, absl::Time until, std::vector<EngineAction>& actions) {
    uint64_t events = 0;
    for (absl::Time now = until - kBetweenRequests; now < until; ++events) {
      now += engine.settings().step_base;
      engine.handle(Wakeup{}, std::min(now, until), actions);
    }
    return events;
  });
}
BENCHMARK(eachStep);

// Bytes of the heap in use for each of many engines, idle and after `requests` requests each.
void memoryOfEngines(benchmark::State& state) {
  constexpr size_t kEngines = 12'000;
  const auto requests = static_cast<uint64_t>(state.range(0));
  const auto settings = std::make_shared<EngineSettings>();
  double bytes = 0;
  for (auto _ : state) {
    const auto before = mallinfo2().uordblks;
    std::deque<EngineModel> engines;
    std::vector<EngineAction> actions;
    for (size_t index = 0; index < kEngines; ++index) {
      EngineModel& engine = engines.emplace_back(settings, Incarnation(1), index, kStart);
      engine.addModel(LoadedModel{ModelName("base"), WeightsVersion(1), {}});
      for (uint64_t id = 1; id <= requests; ++id) {
        engine.handle(SubmitRequest{makeRequest(id)}, kStart + kBetweenRequests * static_cast<int64_t>(id),
                      actions);
      }
      actions = {};
    }
    bytes = static_cast<double>(mallinfo2().uordblks - before) / kEngines;
  }
  state.counters["bytes/engine"] = bytes;
}
BENCHMARK(memoryOfEngines)->Arg(0)->Arg(1)->Arg(10)->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace quincewick::emulator
