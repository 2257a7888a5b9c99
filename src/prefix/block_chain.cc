#include "prefix/block_chain.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <array>

namespace quincewick::prefix {
namespace {

constexpr size_t kSha256Bytes = 32;

BlockKey fromHash(const XXH128_hash_t& hash) {
  return BlockKey{hash.high64, hash.low64};
}

// Length-prefixed, so that no two roots have one encoding.
std::string encodeRoot(const PrefixRoot& root) {
  std::string encoded;
  for (const std::string* field :
       {&root.isolation_domain.value(), &root.model.value(), &root.adapter.value()}) {
    absl::StrAppend(&encoded, field->size(), ":", *field);
  }
  absl::StrAppend(&encoded, root.weights_version.value());
  return encoded;
}

BlockKey chainKey(const BlockKey& parent, std::string_view block) {
  const BlockKey content = fromHash(XXH3_128bits(block.data(), block.size()));
  const std::array<uint64_t, 4> linked = {parent.high, parent.low, content.high, content.low};
  return fromHash(XXH3_128bits(linked.data(), sizeof(linked)));
}

}  // namespace

std::string cacheSalt(const PrefixRoot& root, const SaltSecret& secret) {
  const std::string encoded = encodeRoot(root);
  std::array<unsigned char, kSha256Bytes> digest{};
  unsigned int digest_size = 0;
  HMAC(EVP_sha256(), secret.bytes.data(), static_cast<int>(secret.bytes.size()),
       reinterpret_cast<const unsigned char*>(encoded.data()), encoded.size(), digest.data(), &digest_size);
  const std::string_view bytes(reinterpret_cast<const char*>(digest.data()), digest_size);
  return absl::BytesToHexString(absl::string_view(bytes.data(), bytes.size()));
}

PrefixChain chainPrompt(std::string_view salt, std::string_view prompt, uint32_t block_size) {
  PrefixChain chain;
  chain.block_size = block_size;
  chain.blocks.reserve(prompt.size() / block_size);
  BlockKey parent = fromHash(XXH3_128bits(salt.data(), salt.size()));
  while (prompt.size() >= block_size) {
    parent = chainKey(parent, prompt.substr(0, block_size));
    chain.blocks.push_back(parent);
    prompt.remove_prefix(block_size);
  }
  chain.tail_size = static_cast<uint32_t>(prompt.size());
  return chain;
}

}  // namespace quincewick::prefix
