#include "forwarding/request_identity.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <memory>

namespace quincewick::forwarding {
namespace {

constexpr size_t kDigits = 32;

uint64_t hashOf(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// The same as of the bytes in one piece.
XXH128_hash_t hashOfPieces(const absl::Cord& bytes, uint64_t seed) {
  if (const auto flat = bytes.TryFlat()) {
    return XXH3_128bits_withSeed(flat->data(), flat->size(), seed);
  }
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
  XXH3_128bits_reset_withSeed(state.get(), seed);
  for (const absl::string_view piece : bytes.Chunks()) {
    XXH3_128bits_update(state.get(), piece.data(), piece.size());
  }
  return XXH3_128bits_digest(state.get());
}

}  // namespace

// Each part's hash seeds the next, so that moving bytes between parts changes the result.
RequestIdentity identityOf(std::string_view method, std::string_view target, const TenantId& caller,
                           const absl::Cord& body) {
  const uint64_t seed = hashOf(caller.value(), hashOf(target, hashOf(method, 0)));
  const XXH128_hash_t hash = hashOfPieces(body, seed);
  return {hash.high64, hash.low64};
}

std::string printIdentity(const RequestIdentity& identity) {
  return absl::StrFormat("%016x%016x", identity.high, identity.low);
}

std::optional<RequestIdentity> parseIdentity(std::string_view text) {
  RequestIdentity identity;
  const bool is_read =
      text.size() == kDigits &&
      absl::SimpleHexAtoi(absl::string_view(text.data(), kDigits / 2), &identity.high) &&
      absl::SimpleHexAtoi(absl::string_view(text.data() + kDigits / 2, kDigits / 2), &identity.low);
  // SimpleHexAtoi also accepts signs, whitespace and upper case.
  return is_read && printIdentity(identity) == text ? std::optional(identity) : std::nullopt;
}

}  // namespace quincewick::forwarding
