// Keys of prompt blocks, the unit that engines cache and that routers place requests by.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "types/identifiers.h"

namespace quincewick {

// 128 bits that identify a block together with all blocks before it and their root.
struct BlockKey {
  uint64_t high = 0;
  uint64_t low = 0;

  friend auto operator<=>(const BlockKey&, const BlockKey&) = default;  // NOLINT
  friend bool operator==(const BlockKey&, const BlockKey&) = default;

  template <class Hasher>
  friend Hasher AbslHashValue(Hasher state, const BlockKey& key) {
    return Hasher::combine(std::move(state), key.high, key.low);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

// 32 lower-case hexadecimal digits.
std::string blockKeyToHex(const BlockKey& key);

// The root of a chain of blocks. Equal text under different roots shares no key.
struct PrefixRoot {
  TenantId isolation_domain;  // tenants in one domain may share cached blocks; by default the tenant itself
  ModelName model;
  AdapterName adapter;
  WeightsVersion weights_version;

  friend bool operator==(const PrefixRoot&, const PrefixRoot&) = default;
};

// A prompt as the keys of its full blocks in order, and the size of the remainder.
struct PrefixChain {
  std::vector<BlockKey> blocks;
  uint32_t block_size = 0;  // characters in a block
  uint32_t tail_size = 0;   // characters after the last full block; less than block_size

  uint64_t size() const { return uint64_t{block_size} * blocks.size() + tail_size; }
};

}  // namespace quincewick
