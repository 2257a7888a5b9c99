#include "forwarding/prompt_part_key.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace quincewick::forwarding {
namespace {

uint64_t hashOf(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace

std::vector<PartKey> sharedPartsOf(const ModelName& model, const std::vector<PromptPart>& prompt) {
  std::vector<PartKey> result;
  if (prompt.empty()) {
    return result;
  }
  const uint64_t seed = hashOf(model.value(), 0);
  for (size_t place = 0; place + 1 < prompt.size() && result.size() < kMaxSharedParts; ++place) {
    const PartKey key(hashOf(prompt[place].id, seed));
    if (std::find(result.begin(), result.end(), key) == result.end()) {
      result.push_back(key);
    }
  }
  return result;
}

std::string printParts(const std::vector<PartKey>& parts) {
  return absl::StrJoin(parts, ",", [](std::string* out, const PartKey& part) {
    absl::StrAppendFormat(out, "%016x", part.value());
  });
}

std::vector<PartKey> parseParts(const std::string& text) {
  std::vector<PartKey> result;
  for (const absl::string_view digits : absl::StrSplit(text, ',')) {
    uint64_t value = 0;
    if (!absl::SimpleHexAtoi(digits, &value)) {
      return {};
    }
    result.emplace_back(value);
  }
  // SimpleHexAtoi also accepts signs, whitespace and upper case.
  return printParts(result) == text ? result : std::vector<PartKey>();
}

}  // namespace quincewick::forwarding
