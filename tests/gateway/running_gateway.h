// Runs a gateway in the test process, with helpers to send it requests.
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>

#include "gateway/gateway.h"
#include "platform/platform_dialect.h"
#include "stand_in_site.h"

namespace quincewick::gateway {

inline constexpr const char* kConfiguration = R"({"version":3,"routes":[
  {"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe","timeoutMs":5000,"service":"pool","maxAttempts":2},
  {"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe","timeoutMs":5000,"service":"pool","maxAttempts":2},
  {"name":"short","host":"h","pathPrefix":"/short/","kind":"unsafe","timeoutMs":200,"service":"pool","maxAttempts":1},
  {"name":"resumed","host":"h","pathPrefix":"/resumed/","kind":"streaming","timeoutMs":5000,"service":"pool",
   "maxAttempts":2,"resumable":true},
  {"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming","timeoutMs":5000,"service":"pool",
   "maxAttempts":2},
  {"name":"open","host":"h","pathPrefix":"/open/","kind":"safe","service":"pool","public":true}],
 "services":[{"name":"pool","maxConnections":100}],
 "limits":{"maxHeaderBytes":2000,"maxBodyBytes":5000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["key"]},
  {"name":"limited","apiKeys":["limited"],"unit":"tokens","uncachedTokens":200,"ratePerS":100,"burst":1000}]})";

// A gateway on its own thread; ready after construction.
class RunningGateway {
 public:
  explicit RunningGateway(const StandInSite& site) : RunningGateway(settings(site)) {}
  explicit RunningGateway(const GatewaySettings& settings)
      : gateway_(settings, platform_dialect::makePlatformDialect(), -1) {
    REQUIRE(gateway_.start().has_value());
    thread_ = std::thread([this] { gateway_.run(); });
    awaitReady();
  }
  ~RunningGateway() {
    gateway_.stop();
    thread_.join();
  }
  RunningGateway(const RunningGateway&) = delete;
  RunningGateway& operator=(const RunningGateway&) = delete;

  // What a caller received until its connection ended.
  struct Received {
    std::string bytes;
    bool was_reset = false;  // the connection was reset, not closed in order
  };

  // Sends bytes on a new connection and returns what is received until it ends.
  std::string ask(const std::string& bytes) const { return askAt(gateway_.callersPort(), bytes).bytes; }
  Received askUntilEnd(const std::string& bytes) const { return askAt(gateway_.callersPort(), bytes); }

  // The result of the readiness check.
  bool isReady() const {
    const std::string question = "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    return askAt(gateway_.readinessPort(), question).bytes.find(" 200 ") != std::string::npos;
  }
  // The metrics in Prometheus' text format.
  std::string metrics() const {
    return askAt(gateway_.metricsPort(), "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        .bytes;
  }
  void stopGracefully() { gateway_.stopGracefully(); }
  uint16_t callersPort() const { return gateway_.callersPort(); }

  std::string ask(const std::string& target, const HeaderFields& more, const std::string& body = "") const {
    HeaderFields fields = {{"Host", "h"},
                           {"Connection", "close"},
                           {"Quincewick-Attempt-Id", "attempt-1"},
                           {"Content-Length", std::to_string(body.size())}};
    fields.insert(fields.end(), more.begin(), more.end());
    return ask(printRequestHead("POST", target, fields) + body);
  }

  static GatewaySettings settings(const StandInSite& site) {
    GatewaySettings result;
    result.gateway_id = NodeId("g");
    result.zone = ZoneName("z");
    result.listen.callers = {"127.0.0.1", 0};
    result.listen.readiness = {"127.0.0.1", 0};
    result.store = site.storeAddress();
    result.site_is_new = true;
    return result;
  }

  // Settings of one of several gateways of a zone.
  static GatewaySettings settings(const std::string& id, const Address& store, const StandInSite& site) {
    GatewaySettings result = settings(site);
    result.gateway_id = NodeId(id);
    result.store = store;
    result.listen.peers = Address{"127.0.0.1", 0};
    result.listen.metrics = Address{"127.0.0.1", 0};
    return result;
  }

 private:
  static Received askAt(uint16_t port, const std::string& bytes) {
    boost::asio::io_context reactor;
    boost::asio::ip::tcp::socket socket(reactor);
    socket.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return {answer, error == boost::asio::error::connection_reset};
  }

  void awaitReady() const {
    while (!isReady()) {
      std::this_thread::yield();
    }
  }

  Gateway gateway_;
  std::thread thread_;
};

inline const HeaderFields kKey = {{"Authorization", "Bearer key"}};

inline std::string signedAnswer(const std::string& body) {
  return answerOf(200, {{"Quincewick-Response-Signature", "s"}, {"Quincewick-Attempt-Id", "attempt-1"}},
                  body);
}

inline bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Polls at intervals: each check may open a connection, and a machine has a limited number of them.
template <class Condition>
void await(const Condition& condition) {
  while (!condition()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

inline void awaitPeers(const RunningGateway& gateway, size_t count) {
  await([&] { return has(gateway.metrics(), absl::StrCat("quincewick_peers ", count, "\n")); });
}
inline void awaitPeer(const RunningGateway& gateway) {
  awaitPeers(gateway, 1);
}

// A site whose configuration routes to one service, "pool".
struct Fixture {
  StandInSite site;
  Fixture() { site.setRow("op", "config", kConfiguration); }
};

}  // namespace quincewick::gateway
