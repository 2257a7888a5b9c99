// Configuration hosts of several nodes over the platform's stand-in: operators' changes from end to end.
#include "node/policy_operations.h"

#include <absl/time/clock.h>

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "emulator/platform_server.h"
#include "platform/http_platform.h"

namespace quincewick::node {
namespace {

constexpr absl::Duration kPatience = absl::Seconds(10);

std::string policyText(const std::string& weight, const std::string& extra = "") {
  return "tenants: {airport: {weight: " + weight + "}" + extra +
         "}\noperators: {anna: {role: admin, keys: [{sha256: " + configuration::hashKey("admin-key") +
         "}]}}\n";
}

http::PolicyChange makeChange(const std::string& operation, uint64_t base, std::string text) {
  return {OperationId(operation), "anna", "", ConfigurationVersion(base), std::move(text)};
}

// Three nodes of two zones in this process; their messages are handed over directly.
class Site {
 public:
  Site() : server_({}) {
    const uint16_t port = server_.start({"127.0.0.1", 0}).value();
    for (int number = 0; number < kNodes; ++number) {
      platforms_.push_back(std::make_unique<platform::HttpPlatform>(
          Address{"127.0.0.1", port}, platform::HttpPlatformOptions{absl::Seconds(1), absl::Seconds(1)}));
      hosts_.push_back(nullptr);
      operations_.push_back(nullptr);
    }
    std::vector<configuration::PeerNode> peers;
    for (int number = 0; number < kNodes; ++number) {
      peers.push_back({nodeId(number), zone(number)});
    }
    for (int number = 0; number < kNodes; ++number) {
      startNode(number);
    }
    for (const auto& host : hosts_) {
      host->setPeers(peers);
    }
  }
  // No host may send to another that is gone.
  ~Site() {
    {
      const absl::MutexLock lock(&mutex_);
      closed_ = true;
    }
    hosts_.clear();
  }

  PolicyOperations& operations(int number) { return *operations_[number]; }
  ConfigurationHost& host(int number) { return *hosts_[number]; }
  emulator::PlatformServer& platform() { return server_; }

 private:
  static constexpr int kNodes = 3;

  static NodeId nodeId(int number) { return NodeId("node-" + std::to_string(number)); }
  static ZoneName zone(int number) { return ZoneName(number < 2 ? "zone-a" : "zone-b"); }

  void startNode(int number) {
    configuration::ReplicaSettings settings;
    settings.node = nodeId(number);
    settings.zone = zone(number);
    ConfigurationHooks hooks;
    hooks.send = [this, number](const NodeId& to, const std::string& bytes, bool /*bulk*/) {
      send(number, to, bytes);
    };
    hooks.in_force = [this, number](ConfigurationVersion /*version*/, const configuration::Policy& policy) {
      const absl::MutexLock lock(&mutex_);
      if (operations_[number] != nullptr) {
        operations_[number]->onInForce(policy);
      }
    };
    auto host = std::make_unique<ConfigurationHost>(settings, *platforms_[number], hooks);
    const absl::MutexLock lock(&mutex_);
    operations_[number] = std::make_unique<PolicyOperations>(*host);
    hosts_[number] = std::move(host);
  }

  void send(int from, const NodeId& to, const std::string& bytes) {
    const absl::MutexLock lock(&mutex_);
    for (int number = 0; number < kNodes && !closed_; ++number) {
      if (nodeId(number) == to && hosts_[number] != nullptr) {
        hosts_[number]->receive(nodeId(from), bytes);
      }
    }
  }

  emulator::PlatformServer server_;
  std::vector<std::unique_ptr<platform::HttpPlatform>> platforms_;
  absl::Mutex mutex_;
  bool closed_ = false;
  std::vector<std::unique_ptr<PolicyOperations>> operations_;
  std::vector<std::unique_ptr<ConfigurationHost>> hosts_;
};

TEST_CASE("a change accepted by one node is in force on all, and races are told apart") {
  Site site;
  const auto first = site.operations(0).change(makeChange("op-1", 0, policyText("2")));
  REQUIRE(std::holds_alternative<http::ChangeAccepted>(first));
  CHECK(std::get<http::ChangeAccepted>(first).version == ConfigurationVersion(1));
  for (int number = 0; number < 3; ++number) {
    REQUIRE(site.host(number).waitForVersion(ConfigurationVersion(1), absl::Now() + kPatience));
    CHECK(site.host(number).view().policy.tenants.at(TenantId("airport")).weight == 2);
  }
  // The repeat of the operation through another node changes nothing.
  const auto repeat = site.operations(2).change(makeChange("op-1", 0, policyText("2")));
  CHECK(std::get<http::ChangeAccepted>(repeat).version == ConfigurationVersion(1));
  // Based on version 1, both change the same tenant.
  CHECK(std::holds_alternative<http::ChangeAccepted>(
      site.operations(1).change(makeChange("op-2", 1, policyText("3")))));
  const auto lost = site.operations(2).change(makeChange("op-3", 1, policyText("4")));
  REQUIRE(std::holds_alternative<http::ChangeConflicted>(lost));
  CHECK(std::get<http::ChangeConflicted>(lost).version == ConfigurationVersion(2));
  CHECK(std::get<http::ChangeConflicted>(lost).author == "anna");
  // Going back is a third version.
  http::PolicyChange back;
  back.operation = OperationId("op-4");
  back.author = "anna";
  REQUIRE(site.host(0).waitForVersion(ConfigurationVersion(2), absl::Now() + kPatience));
  const auto rolled_back = site.operations(0).rollback(ConfigurationVersion(1), back);
  CHECK(std::get<http::ChangeAccepted>(rolled_back).version == ConfigurationVersion(3));
  CHECK(site.host(0).view().policy.tenants.at(TenantId("airport")).weight == 2);
  CHECK(site.operations(0).changesAfter(ConfigurationVersion(1)).size() == 2);
  http::StatusReport report;
  site.operations(0).fillStatus(report);
  CHECK(report.nodes.size() == 2);
}

TEST_CASE("a lost answer of the store is read back, and the change is made once") {
  Site site;
  REQUIRE(std::holds_alternative<http::ChangeAccepted>(
      site.operations(0).change(makeChange("op-1", 0, policyText("2")))));
  emulator::Fault lost;
  lost.kind = emulator::FaultKind::kLoseAnswers;
  lost.share = 0.5;
  site.platform().inject(lost);
  const auto outcome = site.operations(0).change(makeChange("op-2", 1, policyText("3")));
  site.platform().clearFaults();
  const auto again = site.operations(1).change(makeChange("op-2", 1, policyText("3")));
  REQUIRE(std::holds_alternative<http::ChangeAccepted>(again));
  CHECK(std::get<http::ChangeAccepted>(again).version == ConfigurationVersion(2));
  CHECK_FALSE(std::holds_alternative<http::ChangeConflicted>(outcome));
}

TEST_CASE("faulty policies and ones without an administrator are refused") {
  Site site;
  const auto faulty = site.operations(0).change(makeChange("op-1", 0, "tenants: {a: {weight: -1}}\n"));
  REQUIRE(std::holds_alternative<http::ChangeRejected>(faulty));
  CHECK_THAT(std::get<http::ChangeRejected>(faulty).faults.at(0),
             Catch::Contains("policy:1:23: tenants.a.weight"));
  CHECK(std::holds_alternative<http::ChangeRejected>(
      site.operations(0).change(makeChange("op-2", 0, "tenants: {a: {}}\n"))));
  CHECK(site.operations(0).requiredAction(makeChange("op", 0, policyText("1"))) ==
        OperatorAction::kChangeOperators);
}

}  // namespace
}  // namespace quincewick::node
