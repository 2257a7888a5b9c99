#include "types/build_revision.h"

#include <catch2/catch.hpp>

namespace quincewick {
namespace {

// Guards against logs that don't tell which build wrote them.
TEST_CASE("a build knows its revision") {
  CHECK_FALSE(buildRevision().empty());
}

}  // namespace
}  // namespace quincewick
