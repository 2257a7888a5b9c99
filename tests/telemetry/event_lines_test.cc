#include "telemetry/event_lines.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "telemetry/event_log.h"

namespace quincewick::telemetry {
namespace {

TEST_CASE("lines of the log parse back to their values, whatever the value") {
  CHECK(rc::check([] {
    // Control characters become blanks in the log.
    const std::string value = *rc::gen::container<std::string>(rc::gen::inRange<char>(32, 127));
    EventLog log({"n", 1U << 20, 50, [] { return absl::UnixEpoch(); }}, -1);
    log.event("e", absl::UnixEpoch()).with("value", value).with("after", 7);
    EventLine line;
    RC_ASSERT(parseEventLine("  12.3 front " + log.buffered(), line) == LineKind::kEvent);
    RC_ASSERT(line.value("value") == value);
    RC_ASSERT(line.value("after") == "7");
  }));
}

TEST_CASE("lines of one request are collected in wall-clock order") {
  TraceCollector collector("r1");
  collector.take("event=request node=b time_ms=20 request=r1 outcome=answered");
  collector.take("event=refused node=a time_ms=3 request=r1 why=no_server");
  collector.take("event=refused node=a time_ms=4 request=r2");
  collector.take("some other line");
  collector.take("event=x why=\"no end");
  const RequestTrace trace = collector.finish();
  REQUIRE(trace.lines.size() == 2);
  CHECK(trace.lines[0].value("why") == "no_server");
  CHECK(trace.lines[1].value("node") == "b");
  CHECK(trace.events_read == 3);
  CHECK(trace.broken_lines == 1);
}

}  // namespace
}  // namespace quincewick::telemetry
