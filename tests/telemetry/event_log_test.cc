#include "telemetry/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

namespace quincewick::telemetry {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Seconds(5);

// Settings of a log with a fixed wall clock.
EventLogSettings settings(size_t buffer_bytes = 65536, uint32_t max_lines_per_second = 50) {
  return {"n1", buffer_bytes, max_lines_per_second, [] { return absl::UnixEpoch() + absl::Seconds(9); }};
}

TEST_CASE("a line has its event, its node, its time and its fields") {
  EventLog log(settings(), -1);
  log.event("refused", kNow).with("request", "r1").with("status", 503).with("why", "no server");
  CHECK(log.buffered() ==
        "event=refused node=n1 time_ms=9000 at_ms=5000 request=r1 status=503 why=\"no server\"\n");
}

TEST_CASE("an untrusted value can't start a line or a field") {
  EventLog log(settings(), -1);
  log.event("x", kNow).with("v", "a\nevent=y \"b");
  CHECK(log.buffered() == "event=x node=n1 time_ms=9000 at_ms=5000 v=\"a event=y \\\"b\"\n");
}

TEST_CASE("lines over the rate limit are dropped, counted and reported") {
  EventLog log(settings(65536, 3), -1);
  for (int line = 0; line < 10; ++line) {
    log.event("burst", kNow).with("line", line);
  }
  CHECK(log.droppedLines() == 7);
  log.event("other", kNow);
  log.event("burst", kNow + absl::Seconds(1));
  CHECK(log.buffered().find("event=dropped node=n1 of=burst lines=7\n") != std::string::npos);
}

TEST_CASE("a reader that stopped doesn't block the process") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  EventLog log(settings(4096, 1000000), ends[1]);
  for (int line = 0; line < 20000; ++line) {
    log.event("line", kNow).with("number", line);
    log.flush();
  }
  CHECK(log.droppedLines() > 0);
  CHECK(log.buffered().size() <= 4096);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace quincewick::telemetry
