// Who a key belongs to, and what it allows.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/policy.h"
#include "configuration/policy_objects.h"
#include "types/error.h"
#include "types/identifiers.h"
#include "types/operator_action.h"

namespace quincewick::configuration {

// The lower-case hexadecimal SHA-256 of a key, as policies hold it.
std::string hashKey(std::string_view key);

// The keys of one policy; made anew for each version. Immutable: safe to read from any number of threads.
//
// Keys are of high entropy, so a plain SHA-256 protects them. A key is looked for by a part of its hash, and
// the whole hash is compared in constant time. Failures tell nothing about why a key was not taken.
class AccessControl {
 public:
  AccessControl() = default;
  explicit AccessControl(const Policy& policy);

  // The tenant of a caller's key. kUnauthenticated for a missing, unknown or expired key, and for one of an
  // operator.
  Result<TenantId> authenticateCaller(std::string_view key, absl::Time now) const;

  // The name of the operator whose key it is. kUnauthenticated as above; kPermissionDenied where the role
  // does not allow the action.
  Result<std::string> authorizeOperator(std::string_view key, OperatorAction action, absl::Time now) const;

 private:
  static constexpr size_t kHashSize = 32;
  using Hash = std::array<unsigned char, kHashSize>;

  struct Identity {
    Hash hash{};
    std::string name;  // of the tenant or the operator
    absl::Time expires = absl::InfiniteFuture();
    OperatorRole role = OperatorRole::kViewer;
  };
  // By the first eight bytes of the hash.
  using Identities = absl::btree_map<uint64_t, std::vector<Identity>>;

  static void add(const KeyHash& key, Identity identity, Identities& identities);
  // Null for a key that is not known or has expired.
  static const Identity* find(std::string_view key, absl::Time now, const Identities& identities);

  Identities callers_;
  Identities operators_;
};

// The action that the changes amount to: changes of operators need the greater role.
OperatorAction requiredAction(const std::vector<ObjectChange>& changes);

}  // namespace quincewick::configuration
