// Guards against peers that send bytes without end that are no message: requests that wait for their deadline
// meanwhile, and memory that grows until the process is killed.
#include <poll.h>

#include <array>
#include <catch2/catch.hpp>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

using boost::asio::ip::tcp;

std::string headOf(const Seen& seen, const HeaderFields& more, int status = 200) {
  HeaderFields fields = {{"Quincewick-Response-Signature", "s"},
                         {"Quincewick-Attempt-Id", *findField(seen.head.fields, "Quincewick-Attempt-Id")}};
  fields.insert(fields.end(), more.begin(), more.end());
  return printResponseHead(status, "Any", fields);
}

const HeaderFields kChunked = {{"Transfer-Encoding", "chunked"}};
// What has arrived by the time that a gateway has to break off: its server never ends what it sends.
const std::string kEndless(3'000'000, '0');

// A server that sends a beginning, then bytes without end, and a gateway before it.
struct EndlessServer : Fixture {
  std::function<std::string(const Seen&)> beginning;
  std::unique_ptr<RunningGateway> gateway;

  void start(std::function<std::string(const Seen&)> answers) {
    beginning = std::move(answers);
    site.addServer("i-1", [this](const Seen& seen) { return Script{beginning(seen)}; });
    gateway = std::make_unique<RunningGateway>(site);
  }
  // The status of a request that may run once, and whose timeout is 5 s.
  std::string ask(const std::string& target = "/once/a") const { return gateway->ask(target, kKey); }
};

// These once held all that came, and answered 504 at the route's timeout.
TEST_CASE_METHOD(EndlessServer, "a chunk's extension without end is a malformed answer at once") {
  start([](const Seen& seen) { return headOf(seen, kChunked) + "5;e=" + kEndless; });
  CHECK(has(ask(), "HTTP/1.1 502"));
}

TEST_CASE_METHOD(EndlessServer, "the digits of a chunk's size without end are a malformed answer at once") {
  start([](const Seen& seen) { return headOf(seen, kChunked) + kEndless; });
  CHECK(has(ask(), "HTTP/1.1 502"));
}

TEST_CASE_METHOD(EndlessServer, "trailers without end are a malformed answer at once") {
  start([](const Seen& seen) { return headOf(seen, kChunked) + "0\r\nT: " + kEndless; });
  CHECK(has(ask(), "HTTP/1.1 502"));
}

TEST_CASE_METHOD(EndlessServer, "interim responses without end are a malformed answer at once") {
  start([](const Seen&) {
    std::string interim;
    for (int count = 0; count < 1000; ++count) {
      interim += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    return interim;
  });
  CHECK(has(ask(), "HTTP/1.1 502"));
}

TEST_CASE_METHOD(EndlessServer,
                 "a late answer without end to another request is a malformed answer at once") {
  start([](const Seen&) {
    return printResponseHead(200, "Any",
                             {{"Quincewick-Response-Signature", "s"}, {"Quincewick-Attempt-Id", "earlier"}}) +
           kEndless;
  });
  CHECK(has(ask(), "HTTP/1.1 502"));
}

TEST_CASE_METHOD(EndlessServer,
                 "an answer without end that can't be passed on is a malformed answer at once") {
  start([](const Seen& seen) {
    return printResponseHead(
               200, "Any",
               {{"Quincewick-Attempt-Id", *findField(seen.head.fields, "Quincewick-Attempt-Id")}}) +
           kEndless;
  });
  CHECK(has(ask(), "HTTP/1.1 502"));
}

TEST_CASE_METHOD(EndlessServer, "a refusal with a body without end is a refusal at once") {
  start([](const Seen& seen) { return headOf(seen, {{"Quincewick-Not-Executed", "1"}}, 503) + kEndless; });
  CHECK(has(ask(), "HTTP/1.1 503"));
}

TEST_CASE_METHOD(EndlessServer, "an event without end breaks its stream off") {
  start([](const Seen& seen) { return headOf(seen, kChunked) + printChunk("data: " + kEndless); });
  CHECK(has(ask("/stream/a"), "HTTP/1.1 502"));
}

// A caller's connection that can be written to without waiting.
class Sender {
 public:
  explicit Sender(uint16_t port) : socket_(reactor_) {
    socket_.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
    socket_.non_blocking(true);
  }
  // Writes copies of `bytes` until the other side takes no more for some time, or `most` bytes are taken.
  // Returns how many were.
  size_t fill(const std::string& bytes, size_t most) {
    size_t taken = 0;
    boost::system::error_code error;
    while (taken < most && !error) {
      pollfd writable = {socket_.native_handle(), POLLOUT, 0};
      constexpr int milliseconds = 1500;
      if (poll(&writable, 1, milliseconds) == 0) {
        return taken;
      }
      const size_t offset = taken % bytes.size();
      taken += socket_.write_some(boost::asio::buffer(bytes.data() + offset, bytes.size() - offset), error);
    }
    return taken;
  }
  std::string readAll() {
    socket_.non_blocking(false);
    boost::system::error_code error;
    std::string received;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(received), error);
    return received;
  }

 private:
  boost::asio::io_context reactor_;
  tcp::socket socket_;
};

TEST_CASE_METHOD(EndlessServer, "a caller that sends a chunk's extension without end gets 431") {
  start([](const Seen& seen) { return headOf(seen, {}); });
  Sender caller(gateway->callersPort());
  caller.fill("POST /once/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;e=" + kEndless,
              100'000);
  CHECK(has(caller.readAll(), "HTTP/1.1 431"));
  CHECK(site.seen().empty());
}

// A gateway once read on and held all responses, at 14 MB/s and without a key.
TEST_CASE_METHOD(EndlessServer, "a caller that sends requests but reads no responses isn't read any more") {
  start([](const Seen&) { return signedAnswer("served"); });
  Sender caller(gateway->callersPort());
  const std::string request = "GET /once/a HTTP/1.1\r\nHost: h\r\n\r\n";  // without a key: 401
  constexpr size_t most = 40'000'000;
  CHECK(caller.fill(request, most) < most);
  CHECK(has(ask("/safe/a"), "served"));  // others are served meanwhile
}

// Guards against reading on with each response to requests that a caller has sent ahead.
TEST_CASE_METHOD(EndlessServer,
                 "a caller with a key that sends requests but reads no responses isn't read any more") {
  start([](const Seen&) { return signedAnswer(std::string(50, 's')); });
  Sender caller(gateway->callersPort());
  const std::string request =
      "POST /once/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nQuincewick-Attempt-Id: attempt-1\r\n"
      "Content-Length: 2\r\n\r\nab";
  constexpr size_t most = 40'000'000;
  CHECK(caller.fill(request, most) < most);
}

}  // namespace
}  // namespace quincewick::gateway
