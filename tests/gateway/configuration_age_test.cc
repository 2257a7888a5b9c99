// Guards against a final 404 for a route that was acknowledged longer ago than a configuration may take to be
// in force: the gateway decided by a configuration that it knew to be older than that bound. See the first
// case.
#include <catch2/catch.hpp>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kBound = absl::Milliseconds(500);
const HeaderFields kUnknownKey = {{"Authorization", "Bearer unknown"}};

GatewaySettings settingsOf(const std::string& id, const Address& store, const StandInSite& site) {
  GatewaySettings settings = RunningGateway::settings(id, store, site);
  settings.bounds.configuration_in_force = kBound;
  settings.bounds.key_revocation = absl::Hours(1);
  return settings;
}

double configurationAge(const RunningGateway& gateway) {
  const std::string metrics = gateway.metrics();
  const std::string name = "\nquincewick_configuration_age_seconds ";
  return std::stod(metrics.substr(metrics.find(name) + name.size()));
}

TEST_CASE_METHOD(
    Fixture, "a route or key that is missing from an outdated configuration is rejected with Retry-After") {
  site.addServer("i-1", [](const Seen& /*seen*/) { return Script{signedAnswer("served")}; });
  const RunningGateway gateway(settingsOf("a", site.secondStoreAddress(), site));
  await([&gateway] { return has(gateway.ask("/none/", kKey), "HTTP/1.1 404"); });
  await([&gateway] { return has(gateway.ask("/safe/a", kUnknownKey), "HTTP/1.1 401"); });
  site.refuseSecond(true);
  await([&gateway] { return configurationAge(gateway) > absl::ToDoubleSeconds(kBound); });
  for (const std::string& answer : {gateway.ask("/none/", kKey), gateway.ask("/safe/a", kUnknownKey)}) {
    CHECK(has(answer, "HTTP/1.1 503"));
    CHECK(has(answer, "Retry-After"));
  }
  CHECK(gateway.ask("/safe/a", kKey).ends_with("served"));
  site.refuseSecond(false);
  await([&gateway] { return has(gateway.ask("/none/", kKey), "HTTP/1.1 404"); });
  await([&gateway] { return has(gateway.ask("/safe/a", kUnknownKey), "HTTP/1.1 401"); });
}

}  // namespace
}  // namespace quincewick::gateway
