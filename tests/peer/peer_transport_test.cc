#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/notification.h>

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "peer/peer_messenger.h"
#include "peer/peer_rpc.h"

namespace quincewick::peer {
namespace {

// An upper bound for things that must happen; a run that passes doesn't wait for it.
constexpr absl::Duration kPatience = absl::Seconds(20);
const Address kAnyPort{"127.0.0.1", 0};

Authenticator node(const char* id) {
  return {NodeId(id), Incarnation(1), KeyRing::make({{KeyId(1), std::string(32, 'k')}}, KeyId(1)).value()};
}

TEST_CASE("a datagram reaches the handler of its module, garbage does not") {
  Authenticator left = node("left");
  Authenticator right = node("right");
  absl::Notification received;
  std::string payload;
  const auto handler = [&](const Envelope& envelope, const Address& /*from*/) {
    payload = envelope.payload;
    received.Notify();
  };
  auto receiver = PeerMessenger::open(kAnyPort, right, {{PeerModule::kFleet, handler}});
  auto sender = PeerMessenger::open(kAnyPort, left, {});
  REQUIRE(receiver);
  REQUIRE(sender);
  const Address to = receiver.value()->localAddress();
  auto stranger = UdpTransport::open(kAnyPort, [](const Address&, const std::string&) {});
  REQUIRE(stranger.value()->send(to, "garbage"));
  REQUIRE(!stranger.value()->send(to, std::string(kMaximumDatagramSize + 1, 'x')));
  REQUIRE(!stranger.value()->send({"not-a-number", 1}, "x"));
  REQUIRE(!sender.value()->send(NodeId("right"), to, PeerModule::kFleet, std::string(2000, 'x')));
  REQUIRE(sender.value()->send(NodeId("right"), to, PeerModule::kLedger, "another module's"));
  REQUIRE(sender.value()->send(NodeId("right"), to, PeerModule::kFleet, "for the fleet"));
  REQUIRE(received.WaitForNotificationWithTimeout(kPatience));
  CHECK(payload == "for the fleet");
  CHECK(!PeerMessenger::open({"not-a-number", 0}, left, {}));
  CHECK(!PeerMessenger::open(to, left, {}));
}

TEST_CASE("a request over HTTP gets the handler's answer or its error, also with many at once") {
  Authenticator left = node("left");
  Authenticator right = node("right");
  const auto echo = [](const Envelope& request) -> Result<std::string> {
    if (request.payload.empty()) {
      return fail(ErrorCode::kConflict, "nothing to echo", Execution::kRan);
    }
    return request.sender.value() + ":" + request.payload;
  };
  auto server = PeerRpcServer::open(kAnyPort, right, {{PeerModule::kConfiguration, echo}}, 4);
  REQUIRE(server);
  const Address address = server.value()->localAddress();
  PeerRpcClient client(left);
  const auto call = [&](PeerModule module, const std::string& payload, const char* to = "right") {
    return client.call(NodeId(to), address, module, payload, kPatience);
  };
  const std::string large(300'000, 'L');
  CHECK(call(PeerModule::kConfiguration, large).value() == "left:" + large);
  const Error conflict = call(PeerModule::kConfiguration, "").error();
  CHECK(conflict.code == ErrorCode::kConflict);
  CHECK(conflict.execution == Execution::kRan);
  CHECK(call(PeerModule::kFleet, "x").error().code == ErrorCode::kNotFound);
  CHECK(call(PeerModule::kConfiguration, "x", "somebody else").error().code == ErrorCode::kOutcomeUnknown);

  std::vector<std::thread> threads;
  std::atomic<int> answered = 0;
  for (int thread = 0; thread < 8; ++thread) {
    threads.emplace_back([&, thread] {
      for (int round = 0; round < 20; ++round) {
        const std::string payload = std::to_string(thread * 100 + round);
        answered += call(PeerModule::kConfiguration, payload).value() == "left:" + payload ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(answered == 160);
  server.value().reset();
  const Error gone =
      client.call(NodeId("right"), address, PeerModule::kConfiguration, "x", kPatience).error();
  CHECK(gone.code == ErrorCode::kUnavailable);
  CHECK(gone.execution == Execution::kNotRun);
}

}  // namespace
}  // namespace quincewick::peer
