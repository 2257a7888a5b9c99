// What block keys cost by the byte, and what the trunk index costs by the event and by the block.
#include <benchmark/benchmark.h>
#include <xxhash.h>

#include <random>
#include <string>

#include "prefix/block_chain.h"
#include "prefix/prefix_index.h"

namespace quincewick::prefix {
namespace {

std::string randomText(size_t size) {
  std::mt19937_64 random(1);
  std::string text(size, ' ');
  for (char& character : text) {
    character = static_cast<char>('a' + random() % 26);
  }
  return text;
}

void setBytes(benchmark::State& state) {
  state.SetBytesProcessed(state.iterations() * state.range(0));
}

void hashBlocks(benchmark::State& state) {
  const std::string prompt = randomText(static_cast<size_t>(state.range(0)));
  for (auto unused : state) {
    benchmark::DoNotOptimize(chainPrompt("salt", prompt, kDefaultBlockSize));
  }
  setBytes(state);
}
BENCHMARK(hashBlocks)->Arg(4096)->Arg(int64_t{40} * 4096);

// The baseline: one hash over the whole text.
void hashWhole(benchmark::State& state) {
  const std::string prompt = randomText(static_cast<size_t>(state.range(0)));
  for (auto unused : state) {
    benchmark::DoNotOptimize(XXH3_128bits(prompt.data(), prompt.size()));
  }
  setBytes(state);
}
BENCHMARK(hashWhole)->Arg(4096)->Arg(int64_t{40} * 4096);

std::vector<BlockKey> randomKeys(size_t count) {
  std::mt19937_64 random(2);
  std::vector<BlockKey> keys(count);
  for (BlockKey& key : keys) {
    key = {random(), random()};
  }
  return keys;
}

// Each of 29 engines stores and evicts blocks in turn; twice as many blocks as fit, so that room must be
// made.
void applyEvents(benchmark::State& state) {
  constexpr uint16_t kEngines = 29;
  constexpr size_t kBatch = 64;
  PrefixIndexSettings settings;
  settings.maximum_blocks = static_cast<size_t>(state.range(0));
  PrefixIndex index(settings);
  const std::vector<BlockKey> keys = randomKeys(2 * settings.maximum_blocks);
  std::vector<uint64_t> sequences(kEngines, 0);
  std::mt19937_64 random(3);
  std::vector<CacheEvent> batch(kBatch);
  uint16_t engine = 0;
  for (auto unused : state) {
    state.PauseTiming();
    for (CacheEvent& event : batch) {
      const auto kind = random() % 2 == 0 ? CacheEventKind::kStored : CacheEventKind::kEvicted;
      event = {Sequence(++sequences[engine]), kind, keys[random() % keys.size()]};
    }
    state.ResumeTiming();
    benchmark::DoNotOptimize(index.apply(EngineNumber{engine}, batch, absl::UnixEpoch()));
    engine = static_cast<uint16_t>((engine + 1) % kEngines);
  }
  state.SetItemsProcessed(state.iterations() * static_cast<int64_t>(kBatch));
  state.counters["seconds_an_event"] =
      benchmark::Counter(static_cast<double>(state.iterations() * kBatch),
                         benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  state.counters["blocks"] = static_cast<double>(index.size());
  state.counters["bytes_a_block"] =
      static_cast<double>(index.memoryBytes()) / static_cast<double>(index.size());
}
BENCHMARK(applyEvents)->Arg(1 << 14)->Arg(1 << 16)->Arg(1 << 20);

void observePrompt(benchmark::State& state) {
  constexpr size_t kTrunks = 1000;
  PrefixIndexSettings settings;
  settings.maximum_blocks = 1 << 16;
  PrefixIndex index(settings);
  const std::vector<BlockKey> keys = randomKeys(kTrunks * static_cast<size_t>(state.range(0)));
  std::vector<PrefixChain> chains(kTrunks);
  for (size_t trunk = 0; trunk < kTrunks; ++trunk) {
    const auto first = keys.begin() + static_cast<std::ptrdiff_t>(trunk) * state.range(0);
    chains[trunk].block_size = kDefaultBlockSize;
    chains[trunk].blocks.assign(first, first + state.range(0));
    index.recordHeld(EngineNumber(trunk % 29), chains[trunk], absl::UnixEpoch());
  }
  size_t next = 0;
  for (auto unused : state) {
    benchmark::DoNotOptimize(index.observe(chains[next++ % kTrunks], absl::UnixEpoch()));
  }
}
BENCHMARK(observePrompt)->Arg(4)->Arg(40);

}  // namespace
}  // namespace quincewick::prefix
