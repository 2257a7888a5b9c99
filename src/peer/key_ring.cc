#include "peer/key_ring.h"

namespace quincewick::peer {

Result<KeyRing> KeyRing::make(const std::vector<PeerKey>& accepted, KeyId signing) {
  KeyRing ring;
  for (const PeerKey& key : accepted) {
    if (key.secret.size() < kMinimumSecretSize) {
      return fail(ErrorCode::kInvalidArgument, "a peer key needs a secret of at least 32 bytes");
    }
    if (!ring.secrets_.emplace(key.id, key.secret).second) {
      return fail(ErrorCode::kInvalidArgument, "two peer keys have the same id");
    }
  }
  if (!ring.secrets_.contains(signing)) {
    return fail(ErrorCode::kInvalidArgument, "the signing key is not among the accepted peer keys");
  }
  ring.signing_ = signing;
  return ring;
}

const std::string* KeyRing::find(KeyId id) const {
  const auto entry = secrets_.find(id);
  return entry == secrets_.end() ? nullptr : &entry->second;
}

}  // namespace quincewick::peer
