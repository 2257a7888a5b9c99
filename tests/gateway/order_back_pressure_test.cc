// Weight-loading orders and the back pressure of engines. Guards against report requests that ignore an
// engine's rate limit: a gateway polled each engine seven times a second during a load, whatever the limit.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

constexpr const char* kEngineConfiguration = R"({"version":3,"routes":[
  {"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming","timeoutMs":5000,"service":"pool"}],
 "services":[{"name":"pool","maxConnections":100,"engine":{"slots":4,"kvCapacity":1000,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":2000,"maxBodyBytes":5000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

// A site with one engine that is always busy with an order and adds `fields` to its response headers.
struct EngineSite {
  StandInSite site;

  explicit EngineSite(const HeaderFields& fields) {
    site.setRow("op", "config", kEngineConfiguration);
    site.addServer(
        "i-1",
        [fields](const Seen& /*seen*/) {
          return Script{answerOf(
              200, fields,
              R"({"stage":"colocated","models":[{"name":"m","version":1}],"busy":true,"sequence":0})")};
        },
        R"([{"name":"m","version":1}])");
  }
  size_t calls(const std::string& target) const {
    const std::vector<Seen> all = site.seen();
    return static_cast<size_t>(std::count_if(
        all.begin(), all.end(), [&](const Seen& seen) { return seen.head.target.starts_with(target); }));
  }
  // Publishes new weights, so that the gateway starts polling the engine.
  void nameWeights() { site.setRow("op", "version/m", R"({"model":"m","version":2})"); }
};

TEST_CASE("report requests leave most of an engine's rate limit to other requests") {
  EngineSite engines(HeaderFields{{"Server-Limit", "2"}});
  const RunningGateway gateway(RunningGateway::settings("a", engines.site.storeAddress(), engines.site));
  engines.nameWeights();
  await([&] { return engines.calls("/v1/report") >= 1; });
  const auto begin = std::chrono::steady_clock::now();
  const size_t before = engines.calls("/v1/report");
  await([&] { return engines.calls("/v1/report") >= before + 3; });
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
  const double reports = static_cast<double>(engines.calls("/v1/report") - before);
  CHECK(reports <= took.count() + 1);
}

TEST_CASE("an engine that signals in a report that it leaves gets no order and no further report request") {
  EngineSite engines(HeaderFields{{"Server-Leaving", "1"}});
  const RunningGateway gateway(RunningGateway::settings("a", engines.site.storeAddress(), engines.site));
  engines.nameWeights();
  await([&] { return has(gateway.metrics(), R"(quincewick_back_pressure_total{what="leaving"} 1)"); });
  const size_t before = engines.calls("/v1/report");
  // Longer than the interval between report requests, and between attempts to load an engine.
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  CHECK(engines.calls("/v1/report") == before);
  CHECK(engines.calls("/v1/order") == 0);
}

// Guards against requests to an engine that takes long to load: it was closed to them for 3.5 s, whatever its
// reports said, and then refused each, which was repeated elsewhere.
TEST_CASE("an engine gets no requests for as long as it is busy with an order") {
  EngineSite engines(HeaderFields{});
  const RunningGateway gateway(RunningGateway::settings("a", engines.site.storeAddress(), engines.site));
  engines.nameWeights();
  await([&] { return engines.calls("/v1/report") >= 1; });
  const size_t before = engines.calls("/stream/");
  for (int attempt = 0; attempt < 80; ++attempt) {
    CHECK(has(gateway.ask("/stream/a", {{"Quincewick-Model", "m"}}), "no_server"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(engines.calls("/stream/") == before);
}

}  // namespace
}  // namespace quincewick::gateway
