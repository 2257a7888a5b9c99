#include "emulator/block_cache.h"

namespace quincewick::emulator {

void BlockCache::countViolation(const BlockProvenance& held, const BlockProvenance& wanted,
                                CacheViolations& violations) const {
  violations.salt += held.salt != wanted.salt ? 1 : 0;
  violations.weights_version += held.weights_version != wanted.weights_version ? 1 : 0;
  violations.incarnation += held.incarnation != wanted.incarnation ? 1 : 0;
}

void BlockCache::pinPrefix(const std::vector<BlockKey>& blocks, const BlockProvenance& wanted,
                           std::vector<Slot>& pinned, CacheViolations& violations) {
  for (const BlockKey& key : blocks) {
    const auto found = slots_.find(key);
    if (found == slots_.end()) {
      return;
    }
    Entry& entry = entries_[found->second];
    if (entry.provenance != wanted) {
      countViolation(entry.provenance, wanted, violations);
      return;
    }
    if (entry.pins++ == 0) {
      unlink(found->second);
    }
    pinned.push_back(found->second);
  }
}

size_t BlockCache::heldPrefix(const std::vector<BlockKey>& blocks, const BlockProvenance& wanted) const {
  size_t held = 0;
  for (const BlockKey& key : blocks) {
    const auto found = slots_.find(key);
    if (found == slots_.end() || entries_[found->second].provenance != wanted) {
      break;
    }
    ++held;
  }
  return held;
}

void BlockCache::store(const std::vector<BlockKey>& blocks, size_t first, const BlockProvenance& provenance,
                       std::vector<BlockKey>& stored, std::vector<BlockKey>& evicted) {
  // Blocks are pinned while the rest is stored, so that a long prompt doesn't evict its own beginning.
  std::vector<Slot> kept;
  for (size_t index = first; index < blocks.size(); ++index) {
    auto found = slots_.find(blocks[index]);
    if (found == slots_.end()) {
      if (!insert(blocks[index], provenance, evicted)) {
        break;
      }
      stored.push_back(blocks[index]);
      found = slots_.find(blocks[index]);
    }
    Entry& entry = entries_[found->second];
    if (entry.pins++ == 0) {
      entry.provenance = provenance;
      unlink(found->second);
    }
    kept.push_back(found->second);
  }
  unpin(kept);
}

void BlockCache::unpin(const std::vector<Slot>& pinned) {
  for (auto slot = pinned.rbegin(); slot != pinned.rend(); ++slot) {
    if (--entries_[*slot].pins == 0) {
      linkNewest(*slot);
    }
  }
}

void BlockCache::clear() {
  slots_ = {};
  entries_ = {};
  free_ = {};
  newest_ = kNone;
  oldest_ = kNone;
}

bool BlockCache::insert(const BlockKey& key, const BlockProvenance& provenance,
                        std::vector<BlockKey>& evicted) {
  if (slots_.size() >= capacity_ && !evictOldest(evicted)) {
    return false;
  }
  Slot slot = 0;
  if (free_.empty()) {
    slot = static_cast<Slot>(entries_.size());
    entries_.emplace_back();
  } else {
    slot = free_.back();
    free_.pop_back();
  }
  entries_[slot] = Entry{key, provenance};
  slots_.emplace(key, slot);
  linkNewest(slot);
  return true;
}

bool BlockCache::evictOldest(std::vector<BlockKey>& evicted) {
  if (oldest_ == kNone) {
    return false;
  }
  const Slot slot = oldest_;
  unlink(slot);
  evicted.push_back(entries_[slot].key);
  slots_.erase(entries_[slot].key);
  free_.push_back(slot);
  return true;
}

void BlockCache::linkNewest(Slot slot) {
  Entry& entry = entries_[slot];
  entry.newer = kNone;
  entry.older = newest_;
  if (newest_ != kNone) {
    entries_[newest_].newer = slot;
  }
  newest_ = slot;
  if (oldest_ == kNone) {
    oldest_ = slot;
  }
}

void BlockCache::unlink(Slot slot) {
  Entry& entry = entries_[slot];
  if (entry.newer != kNone) {
    entries_[entry.newer].older = entry.older;
  } else {
    newest_ = entry.older;
  }
  if (entry.older != kNone) {
    entries_[entry.older].newer = entry.newer;
  } else {
    oldest_ = entry.newer;
  }
}

}  // namespace quincewick::emulator
