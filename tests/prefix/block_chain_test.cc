#include "prefix/block_chain.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>

namespace quincewick::prefix {
namespace {

const SaltSecret kSecret{"a secret of the test"};

size_t sharedBlocks(const PrefixChain& first, const PrefixChain& second) {
  const auto [left, right] =
      std::mismatch(first.blocks.begin(), first.blocks.end(), second.blocks.begin(), second.blocks.end());
  return static_cast<size_t>(left - first.blocks.begin());
}

TEST_CASE("two prompts share exactly the keys of their common full blocks") {
  rc::prop("shared keys", [](const std::string& common, const std::string& left, const std::string& right) {
    const auto block_size = *rc::gen::inRange<uint32_t>(1, 9);
    const std::string first = common + left;
    const std::string second = common + right;
    const auto [end, ignored] = std::mismatch(first.begin(), first.end(), second.begin(), second.end());
    const auto common_size = static_cast<size_t>(end - first.begin());
    const PrefixChain first_chain = chainPrompt("salt", first, block_size);
    const PrefixChain second_chain = chainPrompt("salt", second, block_size);
    RC_ASSERT(sharedBlocks(first_chain, second_chain) == common_size / block_size);
    RC_ASSERT(first_chain.size() == first.size());
  });
}

TEST_CASE("every field of the root and the secret changes the salt, and encodings of roots don't collide") {
  const PrefixRoot root{TenantId("airport"), ModelName("base"), AdapterName("quotes"), WeightsVersion(7)};
  const std::string salt = cacheSalt(root, kSecret);
  PrefixRoot other = root;
  other.isolation_domain = TenantId("airportb");
  other.model = ModelName("ase");
  CHECK(cacheSalt(other, kSecret) != salt);
  other = root;
  other.weights_version = root.weights_version.next();
  CHECK(cacheSalt(other, kSecret) != salt);
  other = root;
  other.adapter = AdapterName();
  CHECK(cacheSalt(other, kSecret) != salt);
  CHECK(cacheSalt(root, SaltSecret{"another"}) != salt);
  CHECK(cacheSalt(root, kSecret) == salt);
}

TEST_CASE("equal prompts under different salts share no key") {
  rc::prop("no key is shared", [](const std::string& prompt) {
    const PrefixChain first = chainPrompt("one", prompt, 2);
    const PrefixChain second = chainPrompt("two", prompt, 2);
    RC_ASSERT(sharedBlocks(first, second) == 0);
  });
}

}  // namespace
}  // namespace quincewick::prefix
