#include "emulator/answer.h"

#include <xxhash.h>

#include <algorithm>

#include "emulator/mix.h"

namespace quincewick::emulator {
namespace {

constexpr uint32_t kShortestAnswer = 64;
constexpr uint32_t kLengthSpread = 448;
constexpr uint64_t kLengthStream = 0x6C656E67;  // keeps the choice of length apart from those of words
constexpr std::string_view kConsonants = "bdfgklmnprstvz";
constexpr std::string_view kVowels = "aeiou";
constexpr int kShortestWord = 2;
constexpr int kWordSpread = 3;

}  // namespace

uint64_t answerSeed(std::string_view model, std::string_view prompt) {
  return XXH3_64bits_withSeed(prompt.data(), prompt.size(), XXH3_64bits(model.data(), model.size()));
}

uint32_t answerLength(uint64_t seed) {
  return kShortestAnswer + static_cast<uint32_t>(mix(seed ^ kLengthStream, 0) % kLengthSpread);
}

std::string answerToken(uint64_t seed, uint64_t offset) {
  uint64_t choice = mix(seed, offset);
  const auto take = [&](uint64_t count) {
    const uint64_t taken = choice % count;
    choice /= count;
    return taken;
  };
  std::string token = offset == 0 ? "" : " ";
  const int syllables = kShortestWord + static_cast<int>(take(kWordSpread));
  for (int syllable = 0; syllable < syllables; ++syllable) {
    token += kConsonants[take(kConsonants.size())];
    token += kVowels[take(kVowels.size())];
  }
  return token;
}

std::string answerText(uint64_t seed, uint32_t maximum_tokens) {
  std::string text;
  const uint32_t length = std::min(maximum_tokens, answerLength(seed));
  for (uint32_t offset = 0; offset < length; ++offset) {
    text += answerToken(seed, offset);
  }
  return text;
}

}  // namespace quincewick::emulator
