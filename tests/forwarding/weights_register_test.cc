#include "forwarding/weights_register.h"

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

const ModelName kModel("m");
constexpr absl::Duration kBound = absl::Seconds(8);
const absl::Time kNamed = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("a version is required before its bound and preferred some time earlier") {
  WeightsRegister weights(kBound);
  CHECK(weights.note({kModel, WeightsVersion(2)}, kNamed));
  CHECK(weights.required(kModel, kNamed) == WeightsVersion());
  CHECK(weights.required(kModel, kNamed + kBound) == WeightsVersion(2));
  const absl::Time before = kNamed + kBound - absl::Milliseconds(1500);
  CHECK(weights.required(kModel, before) == WeightsVersion());
  CHECK(weights.preferred(kModel, before) == WeightsVersion(2));
}

// Guards against a restarted gateway that takes its own start for the time when a version was named.
TEST_CASE("the earliest known time of naming counts") {
  WeightsRegister weights(kBound);
  const absl::Time started = kNamed + absl::Seconds(7);
  weights.note({kModel, WeightsVersion(2)}, started);
  CHECK_FALSE(weights.note({kModel, WeightsVersion(2)}, kNamed));
  CHECK(weights.deadlineOf(kModel, WeightsVersion(1)) < kNamed + kBound);
  weights.note({kModel, WeightsVersion(2)}, started);
  CHECK(weights.deadlineOf(kModel, WeightsVersion(1)) < kNamed + kBound);
}

TEST_CASE("an engine's deadline is that of the first version newer than its own") {
  WeightsRegister weights(kBound);
  weights.note({kModel, WeightsVersion(4)}, kNamed + absl::Seconds(2));
  CHECK_FALSE(weights.note({kModel, WeightsVersion(2)}, kNamed));
  CHECK(weights.newest(kModel) == WeightsVersion(4));
  CHECK(weights.deadlineOf(kModel, WeightsVersion(1)) < weights.deadlineOf(kModel, WeightsVersion(2)));
  CHECK(weights.deadlineOf(kModel, WeightsVersion(4)) == absl::InfiniteFuture());
  CHECK(weights.deadlineOf(ModelName("other"), WeightsVersion()) == absl::InfiniteFuture());
}

TEST_CASE("work on older weights loses value some time after a version was named") {
  WeightsRegister weights(absl::Seconds(8));
  const ModelName model("m");
  const absl::Time named = absl::UnixEpoch();
  weights.note({model, WeightsVersion(2)}, named);
  CHECK(weights.wanted(model, named + absl::Seconds(1)) == WeightsVersion());
  CHECK(weights.wanted(model, named + absl::Milliseconds(1500)) == WeightsVersion(2));
  CHECK(weights.namedAt(model, WeightsVersion(2)) == named);
  CHECK(weights.namedAt(model, WeightsVersion(3)) == absl::InfiniteFuture());
}

}  // namespace
}  // namespace quincewick::forwarding
