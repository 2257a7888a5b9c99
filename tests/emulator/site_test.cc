// A whole emulated site from its settings, and the checks of both files.
#include <httplib.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <tuple>

#include "emulator/emulated_site.h"
#include "emulator/site_settings.h"

namespace quincewick::emulator {
namespace {

constexpr const char* kSmallSite = R"(
site: trial
region: here
platform: {service: {machine_list_lag: 0s}}
weights: {load_time: 10ms, full_speed_loads: 1}
cache_store: {zone: north}
models: [{model: base, adapters: [quotes]}]
engines:
  - {zone: north, count: 2, labels: {role: engine}}
  - {zone: south, count: 1}
action_servers: [{zone: south, count: 1}]
nodes: [{id: node-1, zone: north, address: "127.0.0.1:7000"}]
)";

std::string firstFault(const std::string& text) {
  const auto parsed = parseSiteSettings(text);
  REQUIRE_FALSE(parsed.ok());
  return configuration::printDiagnostic("site.yaml", parsed.diagnostics.at(0));
}

const EmulatedSite::Listening& find(const EmulatedSite& site, const std::string& id) {
  for (const auto& listening : site.listening()) {
    if (listening.id == id) {
      return listening;
    }
  }
  FAIL("no stand-in " << id);
  return site.listening().front();
}

httplib::Client clientOf(const EmulatedSite& site, const std::string& id) {
  const Address& address = find(site, id).address;
  return httplib::Client(address.host, address.port);
}

TEST_CASE("a site starts everything that its settings name, lists it, and reports on it") {
  EmulatedSite site(*parseSiteSettings(kSmallSite).value);
  REQUIRE(site.start());
  CHECK(site.listening().size() == 7);  // platform, cache store, 3 engines, action server, control
  httplib::Client platform = clientOf(site, "platform");
  const auto machines = nlohmann::json::parse(platform.Get("/machines")->body)["machines"];
  CHECK(machines.size() == 6);

  httplib::Client control = clientOf(site, "control");
  CHECK(control.Put("/admin/machines/engine-north-1", R"({"leaving":true})", "application/json")->status ==
        200);
  for (const auto& machine : nlohmann::json::parse(platform.Get("/machines")->body)["machines"]) {
    CHECK(machine["leaving"] == (machine["id"] == "engine-north-1"));
  }
  const auto report = nlohmann::json::parse(control.Get("/admin/site")->body);
  CHECK(report["stand_ins"].size() == 6);
  CHECK(report["engines"]["violations"]["total"] == 0);
}

TEST_CASE("a cut zone reaches its own stand-ins and no others, and nobody outside reaches it") {
  EmulatedSite site(*parseSiteSettings(kSmallSite).value);
  REQUIRE(site.start());
  httplib::Client control = clientOf(site, "control");
  const auto cut =
      control.Post("/admin/site/faults", R"({"target":"zone/north","kind":"cut"})", "application/json");
  REQUIRE(cut->status == 200);
  const auto reaches = [&](const char* zone, const std::string& id) {
    return static_cast<bool>(clientOf(site, id).Get("/v1/load", {{"X-Zone", zone}}));
  };
  CHECK(reaches("north", "engine-north-1"));
  CHECK_FALSE(reaches("north", "engine-south-1"));
  CHECK_FALSE(reaches("south", "engine-north-1"));
  CHECK(reaches("south", "engine-south-1"));
  CHECK(reaches("south", "platform"));
  CHECK_FALSE(reaches("north", "platform"));
  CHECK(control.Delete("/admin/site/faults")->status == 200);
  CHECK(reaches("south", "engine-north-1"));
  CHECK_FALSE(site.inject("nobody", Fault{}));
}

TEST_CASE("loads of weights on several engines share the site's weight store") {
  EmulatedSite site(*parseSiteSettings(kSmallSite).value);
  REQUIRE(site.start());
  const std::string order =
      R"({"epoch":1,"sequence":1,"kind":"load_weights","model":"base","weights_version":2})";
  for (const char* id : {"engine-north-1", "engine-north-2", "engine-south-1"}) {
    CHECK(clientOf(site, id).Post("/v1/orders", order, "application/json")->status == 200);
  }
  for (const char* id : {"engine-north-1", "engine-north-2", "engine-south-1"}) {
    httplib::Client client = clientOf(site, id);
    uint64_t version = 0;
    for (int attempt = 0; attempt < 10'000 && version != 2; ++attempt) {
      version = nlohmann::json::parse(client.Get("/v1/load")->body)["models"][0]["weights_version"];
    }
    CHECK(version == 2);
  }
}

TEST_CASE("settings are checked whole, with line and column") {
  CHECK(firstFault(std::string(kSmallSite) + "colour: red\n").rfind("site.yaml:13:1:", 0) == 0);
  CHECK(firstFault("site: a\nregion: b\nweights: {load_time: 1s, full_speed_loads: 0}\n")
            .rfind("site.yaml:3:44:", 0) == 0);
  CHECK(firstFault("site: a\n").find("missing") != std::string::npos);
  const auto faults = parseFaultSchedule("faults:\n  - {at: 1s, target: all, kind: crush}\n");
  REQUIRE(faults.diagnostics.size() == 1);
  CHECK(faults.diagnostics[0].line == 2);
  CHECK(faults.diagnostics[0].column == 33);
  CHECK(parseFaultSchedule("faults:\n  - {at: 1s, target: all, kind: crash, for: 2s}\n").ok());
}

std::string readDeployment(const std::string& name) {
  std::ifstream input(std::string(QUINCEWICK_SOURCE_FOLDER) + "/deployments/" + name);
  REQUIRE(input);
  return {std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
}

TEST_CASE("the shipped files are in order and have the sizes of the two deployments") {
  const auto sizes = [](const std::string& name) {
    const auto parsed = parseSiteSettings(readDeployment(name));
    REQUIRE(parsed.ok());
    uint32_t engines = 0;
    for (const StandInGroup& group : parsed.value->engines) {
      engines += group.count;
    }
    return std::tuple(engines, parsed.value->action_servers.size(), parsed.value->weights.full_speed_loads);
  };
  CHECK(sizes("budapest.emulator.yaml") == std::tuple(12u, 3u, 2u));
  CHECK(sizes("dakar.emulator.yaml") == std::tuple(18u, 4u, 3u));
  CHECK(parseFaultSchedule(readDeployment("example.faults.yaml")).ok());
}

}  // namespace
}  // namespace quincewick::emulator
