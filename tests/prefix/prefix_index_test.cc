#include "prefix/prefix_index.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace quincewick::prefix {
namespace {

constexpr EngineNumber kEngine{3};
constexpr EngineNumber kOther{5};
const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

BlockKey blockNumber(uint64_t number) {
  return BlockKey{number * 0x9E3779B97F4A7C15U, number * 0xD6E8FEB86659FD93U + 1};
}

PrefixChain chainOf(uint64_t first, uint32_t count) {
  PrefixChain chain;
  chain.block_size = 4096;
  for (uint32_t index = 0; index < count; ++index) {
    chain.blocks.push_back(blockNumber(first + index));
  }
  return chain;
}

PrefixView::Holder beliefOf(const PrefixIndex& index, EngineNumber engine, const PrefixChain& chain) {
  for (const PrefixView::Holder& holder : index.view(chain, kStart).holders) {
    if (holder.engine == engine) {
      return holder;
    }
  }
  return {engine, 0, 0};
}

// An engine's cache with its event log, in which some events are missing.
struct LoggedCache {
  std::set<uint64_t> held;
  std::vector<CacheEvent> log;
  uint64_t sequence = 0;
  bool lost_any = false;

  void toggle(uint64_t block, bool lose) {
    const bool stored = held.insert(block).second;
    if (!stored) {
      held.erase(block);
    }
    ++sequence;
    lost_any |= lose;
    if (!lose) {
      log.push_back({Sequence(sequence), stored ? CacheEventKind::kStored : CacheEventKind::kEvicted,
                     blockNumber(block)});
    }
  }

  std::vector<CacheEvent> read(Sequence after, size_t limit) const {
    std::vector<CacheEvent> events;
    for (const CacheEvent& event : log) {
      if (event.sequence > after && events.size() < limit) {
        events.push_back(event);
      }
    }
    return events;
  }
};

TEST_CASE("certain beliefs are true under lost, late, repeated and reordered events") {
  rc::prop("compared with the cache itself", [] {
    constexpr uint64_t kBlocks = 12;
    PrefixIndex index(PrefixIndexSettings{});
    index.reset(kEngine);
    LoggedCache cache;
    std::vector<std::vector<CacheEvent>> batches;
    const auto steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step) {
      switch (*rc::gen::inRange(0, 6)) {
        case 0:  // a read in order; it may be lost or applied later
          batches.push_back(cache.read(index.resumeAfter(kEngine), *rc::gen::inRange<size_t>(1, 6)));
          break;
        case 1:
          if (!batches.empty()) {
            index.apply(kEngine, *rc::gen::elementOf(batches), kStart);
          }
          break;
        default:
          cache.toggle(*rc::gen::inRange<uint64_t>(0, kBlocks),
                       *rc::gen::weightedElement<bool>({{6, false}, {1, true}}));
      }
    }
    // The reader catches up.
    for (size_t reads = 0; reads < 4 * cache.log.size() + 4; ++reads) {
      const auto events = cache.read(index.resumeAfter(kEngine), 7);
      index.apply(kEngine, events, kStart);
    }
    const bool tail_lost = !cache.log.empty() && cache.log.back().sequence.value() != cache.sequence;
    RC_PRE(!tail_lost && (!cache.log.empty() || cache.sequence == 0));
    for (uint64_t block = 0; block < kBlocks; ++block) {
      const auto belief = beliefOf(index, kEngine, chainOf(block, 1));
      const bool held = cache.held.count(block) == 1;
      RC_ASSERT(belief.certain_blocks == 0 || held);
      RC_ASSERT(cache.lost_any || (belief.certain_blocks == 1) == held);
      RC_ASSERT(belief.possible_blocks >= belief.certain_blocks);
    }
  });
}

TEST_CASE("a gap makes earlier beliefs doubtful until it is read again") {
  PrefixIndex index(PrefixIndexSettings{});
  const CacheEvent first{Sequence(1), CacheEventKind::kStored, blockNumber(1)};
  const CacheEvent second{Sequence(2), CacheEventKind::kStored, blockNumber(2)};
  const CacheEvent third{Sequence(3), CacheEventKind::kStored, blockNumber(3)};
  index.reset(kEngine);
  CHECK_FALSE(index.apply(kEngine, {first}, kStart));
  CHECK(index.apply(kEngine, {third}, kStart));
  CHECK(index.resumeAfter(kEngine) == Sequence(1));
  CHECK(beliefOf(index, kEngine, chainOf(1, 1)).certain_blocks == 0);
  CHECK(beliefOf(index, kEngine, chainOf(1, 1)).possible_blocks == 1);
  CHECK(beliefOf(index, kEngine, chainOf(3, 1)).certain_blocks == 1);
  CHECK_FALSE(index.apply(kEngine, {second, third}, kStart));
  CHECK(beliefOf(index, kEngine, chainOf(1, 3)).certain_blocks == 3);
  CHECK(index.resumeAfter(kEngine) == Sequence(3));
}

TEST_CASE("beliefs from before an unfilled gap stay doubtful after a later gap is filled") {
  PrefixIndex index(PrefixIndexSettings{});
  const auto stored = [](uint64_t sequence) {
    return CacheEvent{Sequence(sequence), CacheEventKind::kStored, blockNumber(sequence)};
  };
  index.reset(kEngine);
  index.apply(kEngine, {stored(1)}, kStart);
  CHECK(index.apply(kEngine, {stored(3)}, kStart));
  CHECK_FALSE(index.apply(kEngine, {stored(3)}, kStart));
  CHECK(index.apply(kEngine, {stored(5)}, kStart));
  CHECK_FALSE(index.apply(kEngine, {stored(4), stored(5)}, kStart));
  CHECK(beliefOf(index, kEngine, chainOf(1, 1)).certain_blocks == 0);
  CHECK(beliefOf(index, kEngine, chainOf(1, 1)).possible_blocks == 1);
  CHECK(beliefOf(index, kEngine, chainOf(3, 3)).certain_blocks == 3);
}

TEST_CASE("a reset voids all beliefs of one engine and none of another") {
  rc::prop("beliefs are void after a reset", [] {
    PrefixIndex index(PrefixIndexSettings{});
    const auto count = *rc::gen::inRange<uint32_t>(1, 20);
    index.recordHeld(kEngine, chainOf(0, count), kStart);
    index.recordHeld(kOther, chainOf(0, count), kStart);
    const auto resets = *rc::gen::inRange(1, 4);
    for (int reset = 0; reset < resets; ++reset) {
      index.reset(kEngine);
    }
    RC_ASSERT(beliefOf(index, kEngine, chainOf(0, count)).possible_blocks == 0);
    RC_ASSERT(beliefOf(index, kOther, chainOf(0, count)).certain_blocks == count);
    RC_ASSERT(index.resumeAfter(kEngine) == Sequence(0));
  });
}

TEST_CASE("only the leading run of blocks counts as held by an engine") {
  PrefixIndex index(PrefixIndexSettings{});
  index.reset(kEngine);
  index.recordHeld(kEngine, chainOf(0, 6), kStart);
  const CacheEvent evicted{Sequence(1), CacheEventKind::kEvicted, blockNumber(3)};
  index.apply(kEngine, {evicted}, kStart);
  CHECK(beliefOf(index, kEngine, chainOf(0, 6)).certain_blocks == 3);
}

TEST_CASE("the number of blocks is bounded, and hot prefixes survive a flood of cold blocks") {
  PrefixIndexSettings settings;
  settings.maximum_blocks = 256;
  PrefixIndex index(settings);
  const PrefixChain hot = chainOf(0, 16);
  for (uint64_t round = 0; round < 200; ++round) {
    index.observe(hot, kStart + absl::Milliseconds(100) * round);
    index.recordHeld(kEngine, hot, kStart);
    index.recordHeld(kOther, chainOf(1000 + round * 32, 32), kStart);
    REQUIRE(index.size() <= settings.maximum_blocks);
  }
  CHECK(beliefOf(index, kEngine, hot).certain_blocks == 16);
  CHECK(index.counters().evicted_blocks > 0);
}

TEST_CASE("requests are counted by block and decay") {
  PrefixIndex index(PrefixIndexSettings{});
  const absl::Duration half_life = PrefixIndexSettings{}.half_life;
  for (int request = 0; request < 8; ++request) {
    index.observe(chainOf(0, 2), kStart);
  }
  const PrefixView now = index.observe(chainOf(0, 3), kStart);
  CHECK(now.requests == std::vector<float>{8, 8, 0});
  CHECK(now.all_requests == 8);
  const PrefixView later = index.view(chainOf(0, 3), kStart + half_life);
  CHECK(later.requests[0] == Approx(4.5).epsilon(0.01));
  CHECK(later.requests[2] == Approx(0.5).epsilon(0.01));
}

TEST_CASE("a sampled index keeps its fraction of the blocks and still finds the length of an engine's run") {
  PrefixIndexSettings settings;
  settings.sampling = 4;
  PrefixIndex index(settings);
  const PrefixChain chain = chainOf(0, 400);
  index.recordHeld(kEngine, chain, kStart);
  CHECK(index.size() > 60);
  CHECK(index.size() < 140);
  CHECK(beliefOf(index, kEngine, chain).certain_blocks > 360);
}

}  // namespace
}  // namespace quincewick::prefix
