#include "reactor/message_reader.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace quincewick::reactor {
namespace {

TEST_CASE("a message parses the same however its bytes are split") {
  CHECK(rc::check([] {
    const std::string body = *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
    const bool chunked = *rc::gen::arbitrary<bool>();
    std::string text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-Odd:  v  \r\n";
    if (chunked) {
      text += "Transfer-Encoding: chunked\r\n\r\n" + (body.empty() ? "" : printChunk(body)) +
              std::string(kLastChunk);
    } else {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    const std::string next = "GET / HTTP/1.1\r\n";
    text += next;
    MessageReader reader(MessageKind::kRequest, {});
    std::string read;
    for (size_t begin = 0; begin < text.size();) {
      const size_t size = *rc::gen::inRange<size_t>(1, 40);
      reader.take(std::string_view(text).substr(begin, size));
      read += reader.takeBody();
      begin += size;
    }
    RC_ASSERT(reader.status() == ReadStatus::kDone);
    RC_ASSERT(read == body);
    RC_ASSERT(reader.head().target == "/a?b=c");
    RC_ASSERT(*findField(reader.head().fields, "x-odd") == "v");
    RC_ASSERT(reader.unreadBytes() == next.size());
    reader.next();
    RC_ASSERT(reader.take("\r\n") == ReadStatus::kDone);
    RC_ASSERT(reader.head().method == "GET");
  }));
}

TEST_CASE("ambiguous or malformed framing is rejected") {
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  for (const std::string& fields :
       {std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
        std::string("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"),
        std::string("Content-Length: 3\r\nContent-Length: 4\r\n\r\n"),
        std::string("Content-Length: -1\r\n\r\n"), std::string("Bad Name: x\r\n\r\n"),
        std::string("Transfer-Encoding: chunked\r\n\r\nzz\r\n")}) {
    MessageReader reader(MessageKind::kRequest, {});
    CHECK(reader.take(start + fields) == ReadStatus::kMalformed);
  }
}

TEST_CASE("exceeding the header limit and the body limit give different statuses") {
  MessageReader head(MessageKind::kRequest, {64, 100});
  CHECK(head.take("GET / HTTP/1.1\r\nX: " + std::string(200, 'x')) == ReadStatus::kHeaderTooLarge);
  MessageReader body(MessageKind::kRequest, {640, 100});
  CHECK(body.take("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n") == ReadStatus::kBodyTooLarge);
}

TEST_CASE("a response without a length is complete only when its connection closes in order") {
  MessageReader reader(MessageKind::kResponse, {});
  CHECK(reader.take("HTTP/1.1 200 OK\r\n\r\nabc") == ReadStatus::kNeedsMore);
  CHECK(reader.endOfBody() == EndOfBody::kInferred);
  CHECK(reader.takeEnd() == ReadStatus::kDone);
  MessageReader cut(MessageKind::kResponse, {});
  cut.take("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  CHECK(cut.takeEnd() == ReadStatus::kMalformed);
}

TEST_CASE("the response to HEAD has no body, whatever its Content-Length") {
  MessageReader reader(MessageKind::kResponse, {});
  reader.next(true);
  CHECK(reader.take("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n") == ReadStatus::kDone);
}

}  // namespace
}  // namespace quincewick::reactor
