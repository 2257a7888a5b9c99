#include "configuration/access_control.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <cstring>
#include <utility>

namespace quincewick::configuration {
namespace {

// A longer key is none of ours; hashing it would only cost time.
constexpr size_t kMaximumKeyLength = 512;

std::array<unsigned char, SHA256_DIGEST_LENGTH> sha256(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), hash.data());
  return hash;
}

uint64_t leadingBytes(const std::array<unsigned char, SHA256_DIGEST_LENGTH>& hash) {
  uint64_t value = 0;
  std::memcpy(&value, hash.data(), sizeof(value));
  return value;
}

bool allows(OperatorRole role, OperatorAction action) {
  switch (action) {
    case OperatorAction::kRead:
      return true;
    case OperatorAction::kControl:
    case OperatorAction::kChangePolicy:
      return role != OperatorRole::kViewer;
    case OperatorAction::kChangeOperators:
      return role == OperatorRole::kAdmin;
  }
  return false;
}

}  // namespace

std::string hashKey(std::string_view key) {
  const auto hash = sha256(key);
  return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(hash.data()), hash.size()));
}

AccessControl::AccessControl(const Policy& policy) {
  for (const auto& [id, tenant] : policy.tenants) {
    for (const KeyHash& key : tenant.caller_keys) {
      add(key, {{}, id.value()}, callers_);
    }
  }
  for (const auto& [name, person] : policy.operators) {
    for (const KeyHash& key : person.keys) {
      add(key, {{}, name, absl::InfiniteFuture(), person.role}, operators_);
    }
  }
}

void AccessControl::add(const KeyHash& key, Identity identity, Identities& identities) {
  const std::string bytes = absl::HexStringToBytes(key.sha256);
  if (bytes.size() != kHashSize) {
    return;
  }
  std::memcpy(identity.hash.data(), bytes.data(), kHashSize);
  identity.expires = key.expires.value_or(absl::InfiniteFuture());
  identities[leadingBytes(identity.hash)].push_back(std::move(identity));
}

const AccessControl::Identity* AccessControl::find(std::string_view key, absl::Time now,
                                                   const Identities& identities) {
  if (key.empty() || key.size() > kMaximumKeyLength) {
    return nullptr;
  }
  const Hash hash = sha256(key);
  const auto candidates = identities.find(leadingBytes(hash));
  if (candidates == identities.end()) {
    return nullptr;
  }
  for (const Identity& identity : candidates->second) {
    if (CRYPTO_memcmp(identity.hash.data(), hash.data(), kHashSize) == 0 && now < identity.expires) {
      return &identity;
    }
  }
  return nullptr;
}

Result<TenantId> AccessControl::authenticateCaller(std::string_view key, absl::Time now) const {
  const Identity* identity = find(key, now, callers_);
  if (identity == nullptr) {
    return fail(ErrorCode::kUnauthenticated, "a valid key is needed");
  }
  return TenantId(identity->name);
}

Result<std::string> AccessControl::authorizeOperator(std::string_view key, OperatorAction action,
                                                     absl::Time now) const {
  const Identity* identity = find(key, now, operators_);
  if (identity == nullptr) {
    return fail(ErrorCode::kUnauthenticated, "a valid key is needed");
  }
  if (!allows(identity->role, action)) {
    return fail(ErrorCode::kPermissionDenied, "the key does not allow this");
  }
  return identity->name;
}

OperatorAction requiredAction(const std::vector<ObjectChange>& changes) {
  for (const ObjectChange& change : changes) {
    if (change.key.value().starts_with("operators/")) {
      return OperatorAction::kChangeOperators;
    }
  }
  return OperatorAction::kChangePolicy;
}

}  // namespace quincewick::configuration
