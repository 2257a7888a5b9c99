#include "gateway/configuration_confirmer.h"

#include <catch2/catch.hpp>
#include <optional>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

using forwarding::TableUpdate;

// A gateway's core whose configuration is due for confirmation, on a reactor that the test drives.
struct OutdatedCore : Fixture {
  Core core{RunningGateway::settings("a", site.secondStoreAddress(), site),
            platform_dialect::makePlatformDialect(), -1};
  std::optional<TableUpdate> news;
  ConfigurationConfirmer confirmer{core, [this](const TableUpdate& update) { news = update; }};
  const absl::Time begin = reactor::steadyNow();

  OutdatedCore() {
    core.settings.bounds.configuration_in_force = absl::Minutes(3);  // the request's timeout is a third of it
    core.in_force.configuration = std::make_shared<const forwarding::SiteConfiguration>();
    core.in_force.confirmed = begin - core.settings.bounds.configuration_in_force;
  }

  void tick() {
    confirmer.tick([] { return false; }, reactor::steadyNow());
  }

  void runUntil(const std::string& metric) {
    while (!has(core.metrics.print({}), metric)) {
      core.reactor.restart();
      core.reactor.run_one_for(std::chrono::milliseconds(20));
    }
  }
};

TEST_CASE_METHOD(OutdatedCore,
                 "an outdated configuration is read again, and its confirmation dates from the request") {
  tick();
  runUntil("quincewick_configuration_confirmations_total{answered=\"true\"} 1");
  REQUIRE(news);
  CHECK(news->is_whole);
  REQUIRE(news->rows.size() == 1);
  CHECK(news->rows[0].key == core.dialect->tables().configuration_key);
  CHECK(news->confirmed >= begin);
  CHECK(news->confirmed <= reactor::steadyNow());
}

TEST_CASE_METHOD(OutdatedCore,
                 "a request that the store refuses confirms nothing and isn't retried at once") {
  site.refuseSecond(true);
  tick();
  runUntil("quincewick_configuration_confirmations_total{answered=\"false\"} 1");
  CHECK_FALSE(news);
  const size_t calls = site.secondCalls().size();
  tick();
  core.reactor.restart();
  core.reactor.poll();
  CHECK(site.secondCalls().size() == calls);
}

TEST_CASE_METHOD(OutdatedCore,
                 "a gateway without a configuration leaves reading the first one to its zone's reader") {
  core.in_force.configuration = nullptr;
  tick();
  core.reactor.poll();
  CHECK(site.secondCalls().empty());
}

}  // namespace
}  // namespace quincewick::gateway
