#include "forwarding/prompt_part_key.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

TEST_CASE("the shared parts of a prompt are all but the last one, each once") {
  const ModelName model("m");
  CHECK(sharedPartsOf(model, {}).empty());
  CHECK(sharedPartsOf(model, {{"own", 1}}).empty());
  const std::vector<PartKey> parts = sharedPartsOf(model, {{"a", 1}, {"b", 1}, {"a", 1}, {"own", 1}});
  REQUIRE(parts.size() == 2);
  CHECK(parts[0] != parts[1]);
  CHECK(sharedPartsOf(model, {{"b", 7}, {"own", 1}}) == std::vector<PartKey>{parts[1]});
  CHECK(sharedPartsOf(ModelName("other"), {{"b", 1}, {"own", 1}}) != std::vector<PartKey>{parts[1]});
}

TEST_CASE("a prompt has a bounded number of shared parts") {
  std::vector<PromptPart> prompt;
  prompt.reserve(100);
  for (int part = 0; part < 100; ++part) {
    prompt.push_back({std::to_string(part), 1});
  }
  CHECK(sharedPartsOf(ModelName("m"), prompt).size() == kMaxSharedParts);
}

TEST_CASE("printed parts are read back, other text is not") {
  const std::vector<PartKey> parts = {PartKey(1), PartKey(UINT64_MAX)};
  CHECK(printParts(parts) == "0000000000000001,ffffffffffffffff");
  CHECK(parseParts(printParts(parts)) == parts);
  for (const char* const text : {"", "1", "0000000000000001,", "000000000000000A", " 000000000000001"}) {
    CHECK(parseParts(text).empty());
  }
}

}  // namespace
}  // namespace quincewick::forwarding
