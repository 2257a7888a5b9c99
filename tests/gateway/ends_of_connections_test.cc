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

// A gateway in a process of its own that can be killed. Started before any thread of the test.
class KilledGateway {
 public:
  KilledGateway() {
    REQUIRE(pipe(to_child_.data()) == 0);
    REQUIRE(pipe(from_child_.data()) == 0);
    child_ = fork();
    if (child_ == 0) {
      run();
    }
  }
  ~KilledGateway() { kill(); }
  KilledGateway(const KilledGateway&) = delete;
  KilledGateway& operator=(const KilledGateway&) = delete;

  // Returns the port for callers once it is ready.
  uint16_t serve(const StandInSite& site) {
    const uint16_t store = site.storeAddress().port;
    uint16_t port = 0;
    REQUIRE(write(to_child_[1], &store, sizeof(store)) == sizeof(store));
    REQUIRE(read(from_child_[0], &port, sizeof(port)) == sizeof(port));
    return port;
  }
  void kill() {
    if (child_ > 0) {
      ::kill(child_, SIGKILL);
      waitpid(child_, nullptr, 0);
      child_ = 0;
    }
  }

 private:
  [[noreturn]] void run() {
    GatewaySettings settings;
    settings.gateway_id = NodeId("g");
    settings.zone = ZoneName("z");
    settings.listen.callers = {"127.0.0.1", 0};
    settings.listen.readiness = {"127.0.0.1", 0};
    settings.store = {"127.0.0.1", 0};
    settings.site_is_new = true;
    const bool is_read =
        read(to_child_[0], &settings.store.port, sizeof(settings.store.port)) == sizeof(settings.store.port);
    Gateway gateway(settings, platform_dialect::makePlatformDialect(), -1);
    if (!is_read || gateway.start().has_error()) {
      _exit(1);
    }
    gateway.setTickObserver([this, &gateway, is_told = false]() mutable {
      if (!is_told && gateway.isReady()) {
        const uint16_t port = gateway.callersPort();
        is_told = write(from_child_[1], &port, sizeof(port)) == sizeof(port);
      }
    });
    gateway.run();
    _exit(0);
  }

  std::array<int, 2> to_child_{};
  std::array<int, 2> from_child_{};
  pid_t child_ = 0;
};

// Without a length or chunks the end of the connection is the end of the answer: the kernel once ended it in
// order where its gateway was killed.
TEST_CASE("a killed gateway resets answers without a length that it hasn't sent completely") {
  KilledGateway gateway;
  Fixture fixture;
  fixture.site.addServer("i-1", [](const Seen&) {
    // More than a gateway buffers, and no end of the connection.
    return Script{
        printResponseHead(200, "OK",
                          {{"Quincewick-Response-Signature", "s"}, {"Quincewick-Attempt-Id", "attempt-1"}}) +
        std::string(400'000, 'x')};
  });
  SlowCaller caller(gateway.serve(fixture.site), requestWith("close"));
  caller.read(350'000);
  gateway.kill();
  caller.read();
  CHECK(caller.bodyBytes() > 0);
  CHECK(caller.wasReset());
}

}  // namespace
}  // namespace quincewick::gateway
