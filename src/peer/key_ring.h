// The site's keys for messages between nodes: one signs, several are accepted, so keys rotate without a gap.
#pragma once

#include <absl/container/btree_map.h>

#include <string>
#include <vector>

#include "peer/envelope.h"
#include "types/error.h"

namespace quincewick::peer {

// The least secret accepted, in bytes.
inline constexpr size_t kMinimumSecretSize = 32;

struct PeerKey {
  KeyId id;
  std::string secret;  // never logged
};

// Immutable; rotation replaces the whole ring.
class KeyRing {
 public:
  // kInvalidArgument when ids repeat, a secret is too short or the signing key is not among them.
  static Result<KeyRing> make(const std::vector<PeerKey>& accepted, KeyId signing);

  // The secret that messages are signed with, and its id.
  const std::string& signingSecret() const { return secrets_.at(signing_); }
  KeyId signingKey() const { return signing_; }
  // The secret of an accepted key, or nothing.
  const std::string* find(KeyId id) const;

 private:
  KeyRing() = default;

  absl::btree_map<KeyId, std::string> secrets_;
  KeyId signing_;
};

}  // namespace quincewick::peer
