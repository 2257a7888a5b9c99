// A node's view of its engines' caches: a bounded index from blocks to the engines that are believed to hold
// them.
//
// Beliefs come from three sources: cache events (late, with gaps), responses (the engine now holds the whole
// prompt) and dispatches (it soon will). A belief belongs to an engine's incarnation: `reset` voids all
// beliefs of an engine in constant time. A gap in an engine's event sequence makes the earlier beliefs of it
// doubtful; reading the gap again, from `resumeAfter`, makes them certain. Beliefs only affect placement, so
// a wrong one costs time, never correctness.
//
// The number of blocks is bounded. A full index evicts the block with the fewest recent requests among the
// next few at a clock hand, and rejects a new block that has fewer still. At scale it keeps one block in
// `sampling`, selected by key, so that all nodes keep the same ones.
//
// Not thread-safe.
#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/container/inlined_vector.h>
#include <absl/time/time.h>
#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "types/block_key.h"
#include "types/identifiers.h"

namespace quincewick::prefix {

// A small number that identifies an engine; assigned by the engine directory and reused after removal.
enum class EngineNumber : uint16_t {};

enum class CacheEventKind : uint8_t { kStored, kEvicted };

// One change of an engine's cache. Sequences rise by one within an incarnation, from 1.
struct CacheEvent {
  Sequence sequence;
  CacheEventKind kind = CacheEventKind::kStored;
  BlockKey block;
};

struct PrefixIndexSettings {
  size_t maximum_blocks = 65536;
  uint32_t sampling = 1;                         // keeps one block in this many; at least 1
  absl::Duration half_life = absl::Seconds(20);  // of request counts
};

// The index's view of one prompt.
struct PrefixView {
  struct Holder {
    EngineNumber engine{};
    uint32_t certain_blocks = 0;   // leading blocks with certain beliefs
    uint32_t possible_blocks = 0;  // the same, including doubtful beliefs; at least certain_blocks
  };
  std::vector<Holder> holders;  // engines believed to hold the first known block, by slot
  std::vector<float> requests;  // for each block: recent requests containing it, this one excluded
  float all_requests = 0;       // all recent requests, this one excluded
};

// Counts for metrics.
struct PrefixIndexCounters {
  uint64_t events = 0;
  uint64_t duplicate_events = 0;
  uint64_t gaps = 0;
  uint64_t evicted_blocks = 0;  // evicted because the index was full
  uint64_t refused_blocks = 0;  // new blocks that were rejected because the index was full
};

class PrefixIndex {
 public:
  explicit PrefixIndex(const PrefixIndexSettings& settings);
  PrefixIndex(const PrefixIndex&) = delete;
  PrefixIndex& operator=(const PrefixIndex&) = delete;

  // Voids all beliefs of the engine; its events start again from sequence 1.
  void reset(EngineNumber engine);

  // Applies cache events in the order of their sequences, skipping those already applied. Returns true if
  // events are missing: the caller should read again from `resumeAfter`. A gap is reported once; if reading
  // again doesn't fill it, earlier beliefs stay doubtful.
  bool apply(EngineNumber engine, absl::Span<const CacheEvent> events, absl::Time now);

  // The sequence after which events should be read next.
  Sequence resumeAfter(EngineNumber engine) const;

  // The engine holds, or will soon hold, all blocks of the chain.
  void recordHeld(EngineNumber engine, const PrefixChain& chain, absl::Time now);

  // The engine doesn't hold the chain's blocks from `first_block` on, contrary to an earlier recordHeld.
  void recordLost(EngineNumber engine, const PrefixChain& chain, size_t first_block);

  // Counts a request for the chain's blocks and returns the view from before it.
  PrefixView observe(const PrefixChain& chain, absl::Time now);

  // Like `observe`, without counting.
  PrefixView view(const PrefixChain& chain, absl::Time now) const;

  size_t size() const { return entries_.size(); }
  const PrefixIndexCounters& counters() const { return counters_; }
  // Bytes in use, without the allocator's overhead.
  size_t memoryBytes() const;

 private:
  // A count of recent requests: `value` as of `counted_at`, halved with each half-life since.
  struct DecayingCount {
    float value = 0;
    uint32_t counted_at = 0;  // in ticks
  };

  // An engine and the epoch of its state in which it was believed to hold the block.
  struct Belief {
    EngineNumber engine{};
    uint16_t epoch = 0;
  };
  static constexpr size_t kInlineBeliefs = 4;

  struct Entry {
    uint64_t key = 0;  // the low half of the block's key; a collision costs one wrong guess
    DecayingCount requests;
    absl::InlinedVector<Belief, kInlineBeliefs> beliefs;
  };

  // Beliefs of epochs in [certain_since, epoch] are certain, those in [valid_since, certain_since) doubtful.
  struct EngineState {
    uint16_t epoch = 0;
    uint16_t certain_since = 0;
    uint16_t valid_since = 0;
    uint64_t next_sequence = 1;
    uint16_t settled_since = 0;         // beliefs since this epoch become certain once the open gap is filled
    std::optional<uint64_t> gap_begin;  // the first missing sequence, while reading again may fill it
    uint64_t gap_end = 0;               // the first sequence known after the gap
  };

  enum class Confidence : uint8_t { kVoid, kDoubtful, kCertain };

  // Hashing and comparing entry numbers by the keys of their entries.
  struct NumberHash {
    using is_transparent = void;
    const std::vector<Entry>* entries;
    size_t operator()(uint32_t number) const { return (*this)((*entries)[number].key); }
    size_t operator()(uint64_t key) const { return static_cast<size_t>(key); }
  };
  struct NumberEqual {
    using is_transparent = void;
    const std::vector<Entry>* entries;
    bool operator()(uint32_t left, uint32_t right) const { return left == right; }
    bool operator()(uint32_t number, uint64_t key) const { return (*entries)[number].key == key; }
    bool operator()(uint64_t key, uint32_t number) const { return (*entries)[number].key == key; }
  };

  bool isSampled(const BlockKey& block) const { return block.high % settings_.sampling == 0; }
  EngineState& state(EngineNumber engine);
  Confidence confidence(const Belief& belief) const;
  const Entry* find(const BlockKey& block) const;
  Entry* findOrInsert(const BlockKey& block, float requests, absl::Time now);
  bool makeRoom(float newcomer_requests, absl::Time now);
  void removeEntry(uint32_t number);
  void addBelief(EngineNumber engine, const BlockKey& block, absl::Time now);
  void removeBelief(EngineNumber engine, const BlockKey& block);
  bool applyOne(EngineNumber engine, const CacheEvent& event, absl::Time now);
  void noteGap(EngineState& engine, uint64_t sequence);
  static void fillGap(EngineState& engine);
  static void abandonGap(EngineState& engine);
  PrefixView emptyView(const PrefixChain& chain, uint32_t now_tick) const;
  uint32_t addBlock(const Entry* entry, uint32_t depth, uint32_t known_blocks, uint32_t now_tick,
                    PrefixView& result) const;
  void mergeBeliefs(const Entry& entry, uint32_t known_blocks, uint32_t depth, PrefixView& result) const;
  uint32_t tick(absl::Time now) const;
  float countAt(const DecayingCount& count, uint32_t tick) const;
  void addOne(DecayingCount& count, uint32_t tick) const;

  PrefixIndexSettings settings_;
  std::vector<Entry> entries_;
  absl::flat_hash_set<uint32_t, NumberHash, NumberEqual> numbers_;
  std::vector<EngineState> engines_;
  DecayingCount all_requests_;
  uint32_t clock_hand_ = 0;
  PrefixIndexCounters counters_;
};

}  // namespace quincewick::prefix
