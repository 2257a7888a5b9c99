// The block cache of an emulated engine: bounded, least recently used out first, with a check of provenance.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

#include "emulator/engine_events.h"
#include "types/block_key.h"

namespace quincewick::emulator {

// Holds at most `capacity` blocks. Blocks in use are pinned and can't be evicted. Not thread-safe; does no
// I/O. Memory follows the number of blocks held, not the capacity.
class BlockCache {
 public:
  // A place in the cache, valid while pinned.
  using Slot = uint32_t;

  explicit BlockCache(uint32_t capacity) : capacity_(capacity) {}

  // Pins the longest run of leading `blocks` that is held under `wanted`, and appends its slots to `pinned`.
  // A block held under another provenance ends the run, is counted in `violations` and is not used.
  void pinPrefix(const std::vector<BlockKey>& blocks, const BlockProvenance& wanted,
                 std::vector<Slot>& pinned, CacheViolations& violations);

  // Stores blocks[first...] in order, evicting unpinned blocks as needed, until one does not fit. A block
  // already held gets the new provenance unless it is pinned. Evicted keys are appended to `evicted`, and
  // newly stored ones to `stored`.
  void store(const std::vector<BlockKey>& blocks, size_t first, const BlockProvenance& provenance,
             std::vector<BlockKey>& stored, std::vector<BlockKey>& evicted);

  // Releases slots given out by pinPrefix and marks them as just used, the first block last.
  void unpin(const std::vector<Slot>& pinned);

  // The length of the run of leading `blocks` held under `wanted`. Changes nothing.
  size_t heldPrefix(const std::vector<BlockKey>& blocks, const BlockProvenance& wanted) const;

  // Forgets every block.
  void clear();

  size_t size() const { return slots_.size(); }
  uint32_t capacity() const { return capacity_; }

 private:
  static constexpr Slot kNone = UINT32_MAX;

  struct Entry {
    BlockKey key;
    BlockProvenance provenance;
    Slot newer = kNone;
    Slot older = kNone;
    uint32_t pins = 0;
  };

  void countViolation(const BlockProvenance& held, const BlockProvenance& wanted,
                      CacheViolations& violations) const;
  void linkNewest(Slot slot);
  void unlink(Slot slot);
  // Evicts the least recently used unpinned block. False if there is none.
  bool evictOldest(std::vector<BlockKey>& evicted);
  // Stores one block that is not held. False if it does not fit.
  bool insert(const BlockKey& key, const BlockProvenance& provenance, std::vector<BlockKey>& evicted);

  uint32_t capacity_;
  absl::flat_hash_map<BlockKey, Slot> slots_;
  std::vector<Entry> entries_;
  std::vector<Slot> free_;
  Slot newest_ = kNone;  // of the unpinned blocks
  Slot oldest_ = kNone;
};

}  // namespace quincewick::emulator
