#include "ledger/key_date.h"

#include <absl/strings/ascii.h>

#include <string>
#include <string_view>

namespace quincewick::ledger {
namespace {

constexpr size_t kUuidLength = 36;
constexpr size_t kVersionPlace = 14;
constexpr size_t kVariantPlace = 19;
constexpr size_t kTimeDigitsEnd = 13;  // 8 digits, a dash, 4 digits

bool isDashPlace(size_t place) {
  return place == 8 || place == 13 || place == 18 || place == 23;
}

uint64_t hexValue(char digit) {
  if (absl::ascii_isdigit(static_cast<unsigned char>(digit))) {
    return static_cast<uint64_t>(digit - '0');
  }
  const auto lower = static_cast<unsigned char>(absl::ascii_tolower(static_cast<unsigned char>(digit)));
  return uint64_t{lower} - uint64_t{'a'} + 10;
}

bool isUuid(std::string_view text) {
  if (text.size() != kUuidLength) {
    return false;
  }
  for (size_t place = 0; place < text.size(); ++place) {
    const bool fits = isDashPlace(place) ? text[place] == '-'
                                         : absl::ascii_isxdigit(static_cast<unsigned char>(text[place]));
    if (!fits) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<absl::Time> keyDate(const IdempotencyKey& key) {
  const std::string_view text = key.value();
  constexpr uint64_t kVariantMask = 0xC;
  constexpr uint64_t kVariantBits = 0x8;
  if (!isUuid(text) || text[kVersionPlace] != '7' ||
      (hexValue(text[kVariantPlace]) & kVariantMask) != kVariantBits) {
    return std::nullopt;
  }
  uint64_t milliseconds = 0;
  for (size_t place = 0; place < kTimeDigitsEnd; ++place) {
    if (!isDashPlace(place)) {
      milliseconds = milliseconds * 16 + hexValue(text[place]);
    }
  }
  return absl::FromUnixMillis(static_cast<int64_t>(milliseconds));
}

}  // namespace quincewick::ledger
