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
      const bool carriage_returns = *rc::gen::arbitrary<bool>();
      const std::string line_end = carriage_returns ? "\r\n" : "\n";
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

}  // namespace
}  // namespace quincewick::forwarding
