// Guards against callers that find no gateway to serve them while a load balancer hands most new connections
// to one gateway, and callers open new ones more often.
#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

constexpr int kServers = 8;
constexpr size_t kGateways = 4;
constexpr int kCallers = 24;
constexpr int kRequestsPerCaller = 25;
// The users' rule asks for three quarters of the share that was served before.
constexpr double kLeastShare = 0.75;

struct ServingSite : Fixture {
  ServingSite() {
    for (int index = 0; index < kServers; ++index) {
      site.addServer(absl::StrCat("i-", index), [](const Seen& seen) {
        const std::string* const id = findField(seen.head.fields, "Quincewick-Attempt-Id");
        return Script{answerOf(
            200,
            {{"Quincewick-Response-Signature", "s"}, {"Quincewick-Attempt-Id", id == nullptr ? "" : *id}},
            "id: 1\ndata: served\n\n")};
      });
    }
  }
  GatewaySettings settingsOf(const std::string& id) const {
    return RunningGateway::settings(id, site.storeAddress(), site);
  }
};

// Sends requests of all kinds from many callers, each on a new connection. Returns the share that is served
// at the first attempt.
template <class Choose>
double servedShare(const Choose& choose) {
  const std::array<const char*, 4> targets = {"/safe/a", "/once/a", "/resumed/a", "/stream/a"};
  std::atomic<int> served = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int number = 0; number < kRequestsPerCaller; ++number) {
        const RunningGateway& gateway = choose(caller * kRequestsPerCaller + number);
        const char* const target = targets[static_cast<size_t>(caller + number) % targets.size()];
        served += has(gateway.ask(target, kKey, absl::StrCat(caller, "-", number)), "data: served") ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return static_cast<double>(served) / (kCallers * kRequestsPerCaller);
}

TEST_CASE_METHOD(ServingSite, "a gateway that gets most new connections serves as large a share as before") {
  std::vector<std::unique_ptr<RunningGateway>> gateways;
  for (const char* const id : {"a", "b", "c", "d"}) {
    gateways.push_back(std::make_unique<RunningGateway>(settingsOf(id)));
  }
  for (const auto& gateway : gateways) {
    await([&gateway] { return has(gateway->metrics(), "quincewick_peers 3"); });
  }
  const double before = servedShare([&](int number) -> const RunningGateway& {
    return *gateways[static_cast<size_t>(number) % kGateways];
  });
  const double at_one = servedShare([&](int) -> const RunningGateway& { return *gateways[0]; });
  CHECK(before == 1);
  CHECK(at_one >= kLeastShare * before);
}

// A caller's connection that is kept open.
class KeptConnection {
 public:
  explicit KeptConnection(uint16_t port) : socket_(reactor_) {
    socket_.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
  }

  // Returns whether the request is served on this connection.
  bool ask() {
    HeaderFields fields = {{"Host", "h"}, {"Quincewick-Attempt-Id", "attempt-1"}, {"Content-Length", "0"}};
    fields.insert(fields.end(), kKey.begin(), kKey.end());
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(printRequestHead("POST", "/safe/a", fields)), error);
    std::string received;
    while (!error && !has(received, "data: served\n\n")) {
      std::array<char, 4096> bytes{};
      received.append(bytes.data(), socket_.read_some(boost::asio::buffer(bytes), error));
    }
    return has(received, "data: served\n\n");
  }

 private:
  boost::asio::io_context reactor_;
  boost::asio::ip::tcp::socket socket_;
};

// A gateway at its limit of connections closed every new one, though callers used none of those it had.
TEST_CASE_METHOD(ServingSite, "new callers are served while idle connections take all places") {
  GatewaySettings settings = settingsOf("a");
  settings.connections_at_most = 8;
  const RunningGateway gateway(settings);
  std::vector<std::unique_ptr<KeptConnection>> kept;
  for (uint32_t place = 0; place < settings.connections_at_most; ++place) {
    kept.push_back(std::make_unique<KeptConnection>(gateway.callersPort()));
    REQUIRE(kept.back()->ask());
  }
  for (int caller = 0; caller < 20; ++caller) {
    CHECK(has(gateway.ask("/safe/a", kKey), "data: served"));
  }
  // Those that were used last are still open.
  CHECK(kept.back()->ask());
}

}  // namespace
}  // namespace quincewick::gateway
