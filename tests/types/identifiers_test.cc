#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "types/block_key.h"
#include "types/error.h"
#include "types/urgency.h"

namespace quincewick {
namespace {

Result<int> halve(int number) {
  if (number % 2 != 0) {
    return fail(ErrorCode::kInvalidArgument, "odd");
  }
  return number / 2;
}

TEST_CASE("a result holds a value or a typed error") {
  CHECK(halve(4).value() == 2);
  REQUIRE(halve(3).has_error());
  CHECK(halve(3).error().code == ErrorCode::kInvalidArgument);
  CHECK(halve(3).error().execution == Execution::kNotRun);
}

TEST_CASE("urgency names round-trip and unknown names are rejected") {
  for (const Urgency urgency : kAllUrgencies) {
    CHECK(urgencyFromName(urgencyName(urgency)) == urgency);
  }
  CHECK_FALSE(urgencyFromName("asap").has_value());
}

TEST_CASE("block keys print in order-preserving hexadecimal") {
  rc::prop("text order is key order", [](uint64_t high_a, uint64_t low_a, uint64_t high_b, uint64_t low_b) {
    const BlockKey first{high_a, low_a};
    const BlockKey second{high_b, low_b};
    RC_ASSERT((blockKeyToHex(first) < blockKeyToHex(second)) == (first < second));
  });
}

}  // namespace
}  // namespace quincewick
