#include "types/labels.h"

#include <catch2/catch.hpp>

namespace quincewick {
namespace {

TEST_CASE("labels are found by key, and a later value replaces an earlier one") {
  Labels labels{{"tier", "gold"}};
  labels.set("tier", "silver");
  CHECK(labels.get("tier") == "silver");
  CHECK_FALSE(labels.get("size").has_value());
}

}  // namespace
}  // namespace quincewick
