#include "forwarding/event_splitter.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

TEST_CASE("events do not depend on how the bytes are split") {
  CHECK(rc::check([] {
    const auto ids = *rc::gen::container<std::vector<uint16_t>>(rc::gen::arbitrary<uint16_t>());
    std::string stream;
    for (const uint16_t id : ids) {
      const std::string line_end = *rc::gen::element<std::string>("\n", "\r\n", "\r");
      stream += "id: " + std::to_string(id) + line_end + "data: piece" + line_end + line_end;
    }
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    std::string joined;
    for (size_t begin = 0; begin < stream.size();) {
      const size_t size = *rc::gen::inRange<size_t>(1, 20);
      for (const StreamEvent& event : splitter.take(std::string_view(stream).substr(begin, size))) {
        events.push_back(event);
        joined += event.bytes;
      }
      begin += size;
    }
    RC_ASSERT(joined == stream);
    RC_ASSERT(splitter.remainder().empty());
    RC_ASSERT(!splitter.isInsideEvent());
    RC_ASSERT(events.size() == ids.size());
    for (size_t index = 0; index < ids.size(); ++index) {
      RC_ASSERT(events[index].id == std::optional<uint64_t>(ids[index]));
    }
  }));
}

TEST_CASE("an incomplete event is held back") {
  EventSplitter splitter;
  CHECK(splitter.take("id: 1\ndata: a\n\nid: 2\ndata: b\n").size() == 1);
  CHECK(splitter.remainder() == "id: 2\ndata: b\n");
}

TEST_CASE("an id that is not an integer is ignored") {
  EventSplitter splitter;
  const auto events = splitter.take("id: 1x\n\ndata: id: 7\n\n");
  REQUIRE(events.size() == 2);
  CHECK_FALSE(events[0].id);
  CHECK_FALSE(events[1].id);
}

// Guards against streams that are taken for complete although they end inside an event.
TEST_CASE("a stream that ends inside an event is told from one that ends after it") {
  const auto is_inside = [](const std::string& bytes) {
    EventSplitter splitter;
    splitter.take(bytes);
    return splitter.isInsideEvent();
  };
  const std::string event = "id: 1\ndata: a\n\n";
  for (const char* const rest :
       {"i", "id: 2", "id: 2\n", "id: 2\ndata: b\n", ": com", ": comment\n", "id: 2\r\n\r", "\r"}) {
    CAPTURE(rest);
    CHECK(is_inside(event + rest));
  }
  for (const char* const rest : {"", "\n", "\r\n", ": comment\n\n", "\n: comment\r\n\r\n"}) {
    CAPTURE(rest);
    CHECK_FALSE(is_inside(event + rest));
  }
  CHECK_FALSE(is_inside("id: 1\rdata: a\r\r"));
  CHECK(is_inside("\xEF\xBB"));
  CHECK_FALSE(is_inside("\xEF\xBB\xBF"));
}

TEST_CASE("comments alone are no event") {
  EventSplitter splitter;
  const auto comments = splitter.take(": a\n: b\n\n");
  REQUIRE(comments.size() == 1);
  CHECK_FALSE(comments[0].has_fields);
  CHECK_FALSE(splitter.hadEvent());
  CHECK(splitter.take("data: a\n\n")[0].has_fields);
  CHECK(splitter.hadEvent());
}

TEST_CASE("a byte-order mark is kept at a stream's beginning and dropped where a stream goes on") {
  const std::string event = "id: 1\ndata: a\n\n";
  for (const bool goes_on : {false, true}) {
    EventSplitter splitter(goes_on);
    CHECK(splitter.take("\xEF\xBB").empty());
    const auto events = splitter.take("\xBF" + event);
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == std::optional<uint64_t>(1));
    CHECK(events[0].bytes == (goes_on ? event : "\xEF\xBB\xBF" + event));
  }
}

}  // namespace
}  // namespace quincewick::forwarding
