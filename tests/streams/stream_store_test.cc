#include "streams/stream_store.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <map>

#include "streams/stream_position.h"

namespace quincewick::streams {
namespace {

RecentAnswer answerOf(const std::string& tenant, uint64_t tokens) {
  RecentAnswer answer;
  answer.tenant = TenantId(tenant);
  for (uint64_t count = 0; count < tokens; ++count) {
    answer.transcript.append("token ");
  }
  return answer;
}

TEST_CASE("the store respects its size and age limits, and returns an answer once and to its tenant only") {
  rc::prop("bounded and private", [] {
    const StreamStoreOptions options{absl::Seconds(10), 4000};
    StreamStore store(options);
    absl::Time now = absl::UnixEpoch();
    std::map<RequestId, std::pair<uint64_t, absl::Time>> put;  // answers that may be stored
    const auto steps = *rc::gen::container<std::vector<uint16_t>>(100, rc::gen::inRange<uint16_t>(0, 1000));
    for (const uint16_t step : steps) {
      now += absl::Milliseconds(step);
      const RequestId request = makeRequestId(NodeId("node-1"), step % 8);
      if (step % 3 != 0) {
        store.put(request, answerOf("school", step % 50), now);
        put[request] = {step % 50, now};
      } else {
        RC_ASSERT(!store.take(request, TenantId("other"), now));
        const auto taken = store.take(request, TenantId("school"), now);
        if (taken) {
          RC_ASSERT(put.count(request) == 1u);
          RC_ASSERT(taken.value().transcript.tokenCount() == put[request].first);
          RC_ASSERT(now - put[request].second < options.maximum_age);
        }
        put.erase(request);
      }
      RC_ASSERT(store.memoryBytes() <= options.maximum_bytes);
    }
    store.expire(now + options.maximum_age);
    RC_ASSERT(store.answerCount() == 0u);
    RC_ASSERT(store.memoryBytes() == 0u);
  });
}

TEST_CASE("an answer that was just stored can be taken") {
  StreamStore store(StreamStoreOptions{});
  store.put(RequestId("r"), answerOf("school", 3), absl::UnixEpoch());
  CHECK(store.take(RequestId("r"), TenantId("school"), absl::UnixEpoch()).value().transcript.tokenCount() ==
        3);
}

TEST_CASE("event ids identify request, node and offset, and malformed ids are rejected") {
  rc::prop("round trip", [](uint64_t unique, uint64_t offset) {
    const StreamPosition position{makeRequestId(NodeId("hall-a:1~x"), unique), offset};
    RC_ASSERT(parseEventId(formatEventId(position)).value() == position);
    RC_ASSERT(servingNode(position.request).value() == NodeId("hall-a:1~x"));
  });
  rc::prop("garbage", [](const std::string& text) {
    const auto position = parseEventId(text);
    if (position) {
      RC_ASSERT(formatEventId(position.value()) == text);
    }
  });
  CHECK(!parseEventId("node~0000000000000001:+1"));
  CHECK(!parseEventId("node~1:1"));
}

}  // namespace
}  // namespace quincewick::streams
