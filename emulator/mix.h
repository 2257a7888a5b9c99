// A small mixing function for repeatable pseudo-random choices that need no generator state.
#pragma once

#include <cstdint>

namespace quincewick::emulator {

// Spreads a seed and a counter over 64 bits (the finaliser of SplitMix64).
constexpr uint64_t mix(uint64_t seed, uint64_t counter) {
  uint64_t value = seed + counter * 0x9E3779B97F4A7C15ULL + 0x9E3779B97F4A7C15ULL;
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31);
}

// The same as a number from 0 up to but not including 1.
constexpr double mixToUnit(uint64_t seed, uint64_t counter) {
  constexpr int kDiscardedBits = 11;
  constexpr double kStep = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(mix(seed, counter) >> kDiscardedBits) * kStep;
}

}  // namespace quincewick::emulator
