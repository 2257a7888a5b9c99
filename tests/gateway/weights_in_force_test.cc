// Guards against requests that wait at an engine until its weights are past their bound, and begin there: 13
// did on runs of the users' site (docs/incidents/2026-12-04-begun-on-old-weights.md).
#include <absl/strings/match.h>

#include <catch2/catch.hpp>
#include <future>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

constexpr const char* kEngineConfiguration = R"({"version":3,"routes":[
  {"name":"once","host":"h","pathPrefix":"/once/","kind":"streaming","timeoutMs":60000,"service":"pool","maxAttempts":2},
  {"name":"again","host":"h","pathPrefix":"/again/","kind":"streaming","timeoutMs":60000,"service":"pool",
   "maxAttempts":2,"resumable":true},
  {"name":"whole","host":"h","pathPrefix":"/whole/","kind":"safe","timeoutMs":60000,"service":"pool","maxAttempts":2}],
 "services":[{"name":"pool","maxConnections":100,"engine":{"slots":4,"kvCapacity":1000,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":2000,"maxBodyBytes":5000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
constexpr absl::Duration kInForce = absl::Seconds(3);
constexpr int64_t kCallersDeadlineMs = 12000;

const HeaderFields kEngineRequest = {{"Quincewick-Model", "m"},
                                     {"Quincewick-Prompt-Prefix", "a:10,b:5"},
                                     {"Quincewick-Deadline-Ms", std::to_string(kCallersDeadlineMs)}};

std::string modelsOf(int version) {
  return R"([{"name":"m","version":)" + std::to_string(version) + "}]";
}

Script stream(const Seen& /*seen*/) {
  return {answerOf(200, {{"Quincewick-Response-Signature", "s"}, {"Content-Type", "text/event-stream"}},
                   "id: 1\ndata: served\n\n")};
}

Script silence(const Seen& /*seen*/) {
  Script script;
  script.is_silent = true;
  return script;
}

struct EngineSite {
  StandInSite site;

  EngineSite() { site.setRow("op", "config", kEngineConfiguration); }
  GatewaySettings settings() const {
    GatewaySettings result = RunningGateway::settings("a", site.storeAddress(), site);
    result.bounds.weights_in_force = kInForce;
    return result;
  }
  void nameWeights() { site.setRow("op", "version/m", R"({"model":"m","version":2})"); }
  // Requests of callers that the engine received.
  std::vector<Seen> requestsAt(const std::string& engine) const {
    std::vector<Seen> result;
    for (const Seen& seen : site.seen()) {
      if (seen.server == engine && !seen.head.target.starts_with("/v1/")) {
        result.push_back(seen);
      }
    }
    return result;
  }
};

TEST_CASE_METHOD(EngineSite,
                 "a request that doesn't show its begin keeps its deadline until weights are named") {
  site.addServer(
      "e-1", [](const Seen& /*seen*/) { return Script{signedAnswer("served")}; }, modelsOf(1));
  const RunningGateway gateway(settings());
  CHECK(has(gateway.ask("/whole/a", kEngineRequest), "served"));
  REQUIRE(requestsAt("e-1").size() == 1);
  const std::string* const deadline = findField(requestsAt("e-1")[0].head.fields, "Quincewick-Deadline-Ms");
  REQUIRE(deadline != nullptr);
  CHECK(std::stoll(*deadline) > absl::ToInt64Milliseconds(kInForce));
}

// The caller would wait for four times as long.
TEST_CASE_METHOD(EngineSite,
                 "a request that has not begun is withdrawn when its weights are past their bound") {
  site.addServer("e-1", silence, modelsOf(1));
  const RunningGateway gateway(settings());
  auto answer = std::async(std::launch::async, [&] { return gateway.ask("/once/a", kEngineRequest); });
  await([&] { return !requestsAt("e-1").empty(); });
  nameWeights();
  const std::string received = answer.get();
  CHECK(has(received, "HTTP/1.1 502"));
  CHECK(has(gateway.metrics(), "quincewick_withdrawn_total 1"));
  CHECK(requestsAt("e-1").size() == 1);
}

TEST_CASE_METHOD(EngineSite, "a withdrawn request that may run again goes on at an engine with new weights") {
  site.addServer("e-1", silence, modelsOf(1));
  const RunningGateway gateway(settings());
  auto answer = std::async(std::launch::async, [&] { return gateway.ask("/again/a", kEngineRequest); });
  await([&] { return !requestsAt("e-1").empty(); });
  nameWeights();
  site.addServer("e-2", stream, modelsOf(2));
  CHECK(has(answer.get(), "served"));
  CHECK(requestsAt("e-2").size() == 1);
}

TEST_CASE_METHOD(EngineSite,
                 "engines whose weights are past their bound get no request, which is rejected at once") {
  site.addServer("e-1", stream, modelsOf(1));
  const RunningGateway gateway(settings());
  nameWeights();
  std::string received;
  await([&] {
    received = gateway.ask("/once/a", kEngineRequest);
    return !has(received, "served");
  });
  CHECK(has(received, "HTTP/1.1 503"));
  CHECK(has(received, "no_server"));
}

}  // namespace
}  // namespace quincewick::gateway
