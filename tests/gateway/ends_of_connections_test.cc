// Guards against answers whose last bytes never reach their callers, and against answers that look complete
// although their gateway was killed while it sent them.
#include <signal.h>  // NOLINT: kill
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

using boost::asio::ip::tcp;

// A caller that reads as slowly as its link lets it.
class SlowCaller {
 public:
  SlowCaller(uint16_t port, const std::string& request) : socket_(reactor_) {
    socket_.open(tcp::v4());
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(kReadBytes));
    socket_.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
    boost::asio::write(socket_, boost::asio::buffer(request));
  }
  // Reads until the connection ends, or until `most` bytes are there.
  void read(size_t most = SIZE_MAX) {
    std::array<char, kReadBytes> buffer{};
    while (!error_ && bytes_.size() < most) {
      const size_t size = socket_.read_some(boost::asio::buffer(buffer), error_);
      bytes_.append(buffer.data(), size);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
  size_t bodyBytes() const {
    const size_t begin = bytes_.find("\r\n\r\n");
    return begin == std::string::npos ? 0 : bytes_.size() - begin - 4;
  }
  bool wasReset() const { return error_ == boost::asio::error::connection_reset; }

 private:
  static constexpr size_t kReadBytes = 32768;
  boost::asio::io_context reactor_;
  tcp::socket socket_;
  boost::system::error_code error_;
  std::string bytes_;
};

std::string requestWith(const std::string& connection) {
  return printRequestHead("POST", "/once/a",
                          {{"Host", "h"},
                           {"Connection", connection},
                           {"Authorization", "Bearer key"},
                           {"Quincewick-Attempt-Id", "attempt-1"},
                           {"Content-Length", "0"}});
}

constexpr size_t kBodyBytes = 3'000'000;

struct LongAnswers : Fixture {
  LongAnswers() {
    site.addServer("i-1", [](const Seen&) { return Script{signedAnswer(std::string(kBodyBytes, 'x'))}; });
  }
};

// It was once reset 1 s after the server's last byte, whatever was still unsent.
TEST_CASE_METHOD(LongAnswers,
                 "a long answer to a slow caller arrives whole on a connection that isn't kept") {
  const RunningGateway gateway(site);
  SlowCaller caller(gateway.callersPort(), requestWith("close"));
  caller.read();
  CHECK(caller.bodyBytes() == kBodyBytes);
  CHECK_FALSE(caller.wasReset());
}

TEST_CASE_METHOD(LongAnswers, "a gateway that stops sends slow callers all of their answers first") {
  RunningGateway gateway(site);
  SlowCaller closed(gateway.callersPort(), requestWith("close"));
  SlowCaller kept(gateway.callersPort(), requestWith("keep-alive"));
  closed.read(1);
  kept.read(1);
  gateway.stopGracefully();
  std::thread reader([&closed] { closed.read(); });
  kept.read();
  reader.join();
  CHECK(closed.bodyBytes() == kBodyBytes);
  CHECK(kept.bodyBytes() == kBodyBytes);
}

}  // namespace
}  // namespace quincewick::gateway
