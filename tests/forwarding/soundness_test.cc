#include "forwarding/soundness.h"

#include <catch2/catch.hpp>

#include "forwarding/brittleness.h"

namespace quincewick::forwarding {
namespace {

const ServiceName kService("s");
const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("sound statements are read as they were written") {
  const std::vector<SoundStatement> statements = {{kService, absl::Seconds(3)},
                                                  {ServiceName("t"), absl::Milliseconds(1)}};
  CHECK(decodeSoundRecord(encodeSoundRecord({statements})).value().statements == statements);
  CHECK(decodeSoundRecord("x").has_error());
}

// Guards against a gateway that starts and takes a service for sound that became brittle after the record.
TEST_CASE("a sound statement counts only if no brittle one follows it or still holds") {
  const std::vector<SoundStatement> sound = {{kService, absl::Seconds(100)}};
  CHECK(withoutBrittle(sound, {}).size() == 1);
  CHECK(withoutBrittle(sound, {{ServiceName("t"), absl::Seconds(101)}}).size() == 1);
  CHECK(withoutBrittle(sound, {{kService, absl::Seconds(101)}}).empty());
  CHECK(withoutBrittle(sound, {{kService, absl::Seconds(95)}}).empty());
  CHECK(withoutBrittle(sound, {{kService, absl::Seconds(80)}}).size() == 1);
}

TEST_CASE("a recorded sound statement holds for as long as one that was heard") {
  BrittlenessRegister known;
  known.noteRecordedSound(kService, kNow - absl::Seconds(8));
  CHECK(known.toleranceOf(1, kService, false, kNow).is_known);
  CHECK_FALSE(known.toleranceOf(1, kService, true, kNow).is_known);
  CHECK_FALSE(known.toleranceOf(1, kService, false, kNow + absl::Seconds(3)).is_known);
  CHECK_FALSE(known.isHeard(kService));
  CHECK(known.soundServices(kNow).empty());
  known.noteReport(kService, 3, kNow);
  CHECK(known.toleranceOf(1, kService, false, kNow).max_rejections == 3);
}

TEST_CASE("services are sound while a server said so lately and none is brittle") {
  BrittlenessRegister known;
  known.noteStatement(1, kService, std::nullopt, kNow);
  REQUIRE(known.soundServices(kNow + absl::Seconds(1)).size() == 1);
  CHECK(known.soundServices(kNow + absl::Seconds(1)).front().heard == kNow);
  CHECK(known.soundServices(kNow + absl::Seconds(11)).empty());
  known.noteStatement(2, kService, 3, kNow);
  CHECK(known.soundServices(kNow + absl::Seconds(1)).empty());
}

}  // namespace
}  // namespace quincewick::forwarding
