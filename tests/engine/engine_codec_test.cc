#include "engine/engine_codec.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace quincewick::engine {
namespace {

EngineRequest sampleRequest() {
  EngineRequest request;
  request.request = RequestId("r1");
  request.attempt = AttemptNumber(3);
  return request;
}

ServerSentEvent tokenEvent() {
  return {"7", "", R"({"id":"r1","choices":[{"index":0,"text":"word ","finish_reason":null}]})"};
}

TEST_CASE("a stream's events keep their offsets, text and end") {
  const auto token = decodeStreamEvent(sampleRequest(), tokenEvent());
  REQUIRE(token.has_value());
  const auto& engine_token = std::get<streams::EngineToken>(*token.value().answer);
  CHECK(engine_token.offset == 7);
  CHECK(engine_token.text == "word ");
  const auto end = decodeStreamEvent(
      sampleRequest(),
      {"8", "",
       R"({"choices":[{"text":"","finish_reason":"length"}],"usage":{"prompt_tokens":9,"completion_tokens":8,)"
       R"("prompt_tokens_details":{"cached_tokens":4}},"engine":{"incarnation":2,"weights_version":5,"waiting":6}})"});
  REQUIRE(end.has_value());
  const auto& engine_end = std::get<streams::EngineEnd>(*end.value().answer);
  CHECK(engine_end.token_count == 8);
  CHECK(engine_end.reason == FinishReason::kLength);
  CHECK(engine_end.usage.cached_tokens == 4);
  CHECK(end.value().observation->load.waiting == 6);
  CHECK(end.value().observation->weights_version == WeightsVersion(5));
}

TEST_CASE("an event of another request is refused, never delivered") {
  ServerSentEvent crossed = tokenEvent();
  crossed.data.replace(crossed.data.find("r1"), 2, "r2");
  REQUIRE(decodeStreamEvent(sampleRequest(), crossed).has_error());
}

TEST_CASE("altered or cut engine data never throws") {
  rc::prop("decoders return", [](size_t place, char replacement) {
    ServerSentEvent event = tokenEvent();
    event.data[place % event.data.size()] = replacement;
    static_cast<void>(decodeStreamEvent(sampleRequest(), event));
    static_cast<void>(decodeReport(event.data));
    static_cast<void>(decodeCacheEvents(event.data));
    event.data.resize(place % event.data.size());
    RC_ASSERT(decodeStreamEvent(sampleRequest(), event).has_error());
  });
}

TEST_CASE("a refusal is not-run only where the status or the engine says so") {
  CHECK(decodeRefusal(503, "").execution == Execution::kNotRun);
  CHECK(decodeRefusal(409, "{}").code == ErrorCode::kConflict);
  CHECK(decodeRefusal(500, "").execution == Execution::kUnknown);
  CHECK(decodeRefusal(503, R"({"error":{"ran":"unknown"}})").execution == Execution::kUnknown);
}

TEST_CASE("events come out alike however the bytes are cut") {
  rc::prop("any cut", [](size_t cut) {
    const std::string text = "id: 1\r\ndata: a\r\n\r\n: comment\n\nid: 2\nevent: error\ndata: b\ndata: c\n\n";
    const size_t place = cut % (text.size() + 1);
    ServerSentEventReader reader(1000);
    std::vector<ServerSentEvent> events;
    for (const auto& piece : {text.substr(0, place), text.substr(place)}) {
      reader.feed(piece);
      while (auto event = reader.next()) {
        events.push_back(*event);
      }
    }
    RC_ASSERT(events.size() == 2U);
    RC_ASSERT(events[0].id == "1");
    RC_ASSERT(events[0].data == "a");
    RC_ASSERT(events[1].name == "error");
    RC_ASSERT(events[1].data == "b\nc");
  });
}

TEST_CASE("an endless event is given up on") {
  ServerSentEventReader reader(10);
  reader.feed("data: 0123456789");
  CHECK_FALSE(reader.next().has_value());
  CHECK(reader.failed());
}

}  // namespace
}  // namespace quincewick::engine
