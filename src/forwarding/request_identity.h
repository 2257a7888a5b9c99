// Identifies a request by its content, so that it is recognized when it comes again: with another attempt id
// or other header fields, or at another gateway.
#pragma once

#include <absl/strings/cord.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "types/identifiers.h"

namespace quincewick::forwarding {

// A hash of 128 bits: the probability of a collision among a million different requests is below 10^-26. It
// is not collision-resistant against a caller who knows another tenant's whole request and searches for a
// body with the same hash.
struct RequestIdentity {
  uint64_t high = 0;
  uint64_t low = 0;

  friend bool operator==(const RequestIdentity&, const RequestIdentity&) = default;
  friend bool operator<(const RequestIdentity& left, const RequestIdentity& right) {
    return std::tie(left.high, left.low) < std::tie(right.high, right.low);
  }

  template <class Hash>
  friend Hash AbslHashValue(Hash hash, const RequestIdentity& identity) {
    return Hash::combine(std::move(hash), identity.high, identity.low);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

// `caller`: the tenant; empty if the route needs no key.
RequestIdentity identityOf(std::string_view method, std::string_view target, const TenantId& caller,
                           const absl::Cord& body);

// 32 hexadecimal digits.
std::string printIdentity(const RequestIdentity& identity);
// Returns nothing unless `text` is exactly what printIdentity writes.
std::optional<RequestIdentity> parseIdentity(std::string_view text);

}  // namespace quincewick::forwarding
