// Splits prompts into blocks and computes a chained 128-bit key for each block.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "types/block_key.h"

namespace quincewick::prefix {

// Characters in a block; the cache block size of the engines in both deployments.
inline constexpr uint32_t kDefaultBlockSize = 4096;

// The site's secret from which cache salts are derived. Never logged, never sent to an engine.
struct SaltSecret {
  std::string bytes;
};

// Returns the salt that separates the caches of different roots: an HMAC-SHA-256 of the root under the site's
// secret, as 64 hexadecimal digits. Engines get it as `cache_salt`; without the secret it can't be guessed.
std::string cacheSalt(const PrefixRoot& root, const SaltSecret& secret);

// Returns the chain of `prompt` under `salt`. Each key is the XXH3-128 of its parent's key and its own
// block's XXH3-128, so equal keys mean equal prompts from the first character on, under one salt.
// `block_size` > 0.
PrefixChain chainPrompt(std::string_view salt, std::string_view prompt, uint32_t block_size);

}  // namespace quincewick::prefix
