// Names a request by what its caller asked for, so that it is known again when it comes another time: under
// another attempt's id, with other fields, at another gateway.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "types/identifiers.h"

namespace quincewick::forwarding {

// A hash of 128 bits: among a million different requests two have the same one with a probability below
// 10^-26. It is not made to withstand a caller who knows another tenant's whole request and looks for a body
// of its own with the same hash.
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

// `caller`: the tenant; empty where a route needs no key.
RequestIdentity identityOf(std::string_view method, std::string_view target, const TenantId& caller,
                           std::string_view body);

// 32 hexadecimal digits.
std::string printIdentity(const RequestIdentity& identity);
// Nothing where the text is not what printIdentity writes.
std::optional<RequestIdentity> parseIdentity(std::string_view text);

}  // namespace quincewick::forwarding
