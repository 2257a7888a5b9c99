// Guards against a request that crashes every server that starts to run it. On a site of 7 gateways one
// request crashed 14 engines and another one 17, and all other requests there were cut off. The caller
// repeated the request under new ids at any gateway, and each gateway tried it, some twice per arrival: the
// history of a request was kept only in one exchange at one gateway, so nothing limited the crashes over
// several arrivals. In the first case, ten more arrivals at two gateways crashed fourteen more servers after
// the first three.
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

// All gateways that reach each other know of the third crash within it.
constexpr std::chrono::seconds kReportTime(3);
constexpr size_t kServersToQuarantine = 3;
constexpr size_t kMaxFurtherSends = 3;
constexpr const char* kCrashingBody = "deadly";

// A site of many servers. A request with the body kCrashingBody crashes the server that receives it; others
// are served.
struct CrashingSite : Fixture {
  std::shared_ptr<std::atomic<bool>> does_crash = std::make_shared<std::atomic<bool>>(true);

  explicit CrashingSite(size_t servers = 40) {
    for (size_t index = 0; index < servers; ++index) {
      site.addServer(absl::StrCat("i-", index), [does_crash = does_crash](const Seen& seen) {
        Script script{signedAnswer("served")};
        if (seen.body == kCrashingBody && *does_crash) {
          script.answer.clear();
          script.crashes = true;
        }
        return script;
      });
    }
  }

  size_t crashingSends() const {
    const std::vector<Seen> all = site.seen();
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [](const Seen& seen) { return seen.body == kCrashingBody; }));
  }
};

// Each attempt has a new id and different header fields.
std::string sendCrashing(const RunningGateway& gateway, const std::string& target, int attempt) {
  HeaderFields fields = {{"Host", "h"},
                         {"Connection", "close"},
                         {"Quincewick-Attempt-Id", absl::StrCat("attempt-", attempt)},
                         {"X-Trace", absl::StrCat(attempt)},
                         {"Content-Length", absl::StrCat(std::string(kCrashingBody).size())}};
  fields.insert(fields.end(), kKey.begin(), kKey.end());
  return gateway.ask(printRequestHead("POST", target, fields) + kCrashingBody);
}

TEST_CASE_METHOD(CrashingSite, "a request that crashed three servers reaches few more through any gateway") {
  const RunningGateway first(RunningGateway::settings("a", site.storeAddress(), site));
  const RunningGateway second(RunningGateway::settings("b", site.storeAddress(), site));
  awaitPeer(first);
  awaitPeer(second);
  int attempt = 0;
  while (crashingSends() < kServersToQuarantine) {
    sendCrashing(first, "/safe/a", ++attempt);
  }
  std::this_thread::sleep_for(kReportTime);
  const size_t before = crashingSends();
  for (int arrival = 0; arrival < 5; ++arrival) {
    sendCrashing(first, "/safe/a", ++attempt);
    sendCrashing(second, "/safe/a", ++attempt);
  }
  CHECK(crashingSends() - before <= kMaxFurtherSends);
  CHECK(first.ask("/safe/a", kKey, "sound").ends_with("served"));
  CHECK(second.ask("/safe/a", kKey, "sound").ends_with("served"));
}

void awaitQuarantined(const RunningGateway& gateway) {
  await([&gateway] { return has(gateway.metrics(), "quincewick_requests_blamed 1"); });
}

// Crashes servers until the gateway quarantines the request.
void quarantine(const RunningGateway& gateway) {
  int attempt = 0;
  while (!has(gateway.metrics(), "quincewick_requests_blamed 1")) {
    sendCrashing(gateway, "/safe/a", ++attempt);
  }
}

TEST_CASE_METHOD(CrashingSite, "a quarantined request is rejected at once and without Retry-After") {
  const RunningGateway gateway(RunningGateway::settings("a", site.storeAddress(), site));
  quarantine(gateway);
  const size_t before = crashingSends();
  await([&gateway] { return has(sendCrashing(gateway, "/safe/a", 1), "ends_servers"); });
  const std::string answer = sendCrashing(gateway, "/once/a", 2);
  CHECK(has(answer, "HTTP/1.1 502"));  // another path: a different request, which has crashed no server yet
  CHECK_FALSE(has(answer, "ends_servers"));
  const std::string rejected = sendCrashing(gateway, "/safe/a", 3);
  CHECK(has(rejected, "HTTP/1.1 502"));
  CHECK(has(rejected, "ends_servers"));
  CHECK_FALSE(has(rejected, "Retry-After"));
  CHECK(crashingSends() <= before + 1);
}

TEST_CASE_METHOD(CrashingSite, "a quarantined request is tried exactly once more") {
  const RunningGateway gateway(RunningGateway::settings("a", site.storeAddress(), site));
  quarantine(gateway);
  await([&gateway] { return has(sendCrashing(gateway, "/safe/a", 1), "ends_servers"); });
  const size_t before = crashingSends();
  await([&] {
    sendCrashing(gateway, "/safe/a", 1);
    return crashingSends() > before;
  });
  for (int arrival = 0; arrival < 20; ++arrival) {
    CHECK(has(sendCrashing(gateway, "/safe/a", 1), "ends_servers"));
  }
  CHECK(crashingSends() == before + 1);
}

TEST_CASE_METHOD(CrashingSite,
                 "a quarantined request that no longer crashes servers is served again after its trial") {
  const RunningGateway gateway(RunningGateway::settings("a", site.storeAddress(), site));
  quarantine(gateway);
  *does_crash = false;
  await([&gateway] { return sendCrashing(gateway, "/safe/a", 1).ends_with("served"); });
  CHECK(sendCrashing(gateway, "/safe/a", 1).ends_with("served"));
  CHECK(has(gateway.metrics(), "quincewick_requests_blamed 0"));
}

TEST_CASE_METHOD(CrashingSite, "a gateway that starts later learns which requests are quarantined") {
  const RunningGateway first(RunningGateway::settings("a", site.storeAddress(), site));
  quarantine(first);
  const RunningGateway second(RunningGateway::settings("b", site.storeAddress(), site));
  awaitQuarantined(second);
  const size_t before = crashingSends();
  await([&second] { return has(sendCrashing(second, "/safe/a", 1), "ends_servers"); });
  CHECK(crashingSends() == before);
}

TEST_CASE_METHOD(CrashingSite, "quarantined requests are still known after all gateways of a site stopped") {
  auto first = std::make_unique<RunningGateway>(RunningGateway::settings("a", site.storeAddress(), site));
  quarantine(*first);
  await([this] { return site.hasRows("gateway-crashes"); });
  first.reset();
  GatewaySettings settings = RunningGateway::settings("a", site.storeAddress(), site);
  settings.site_is_new = false;
  const RunningGateway again(settings);
  awaitQuarantined(again);
  const size_t before = crashingSends();
  await([&again] { return has(sendCrashing(again, "/safe/a", 1), "ends_servers"); });
  CHECK(crashingSends() == before);
}

TEST_CASE_METHOD(Fixture, "connections that servers reset do not count as crashes") {
  auto resets = std::make_shared<bool>(true);
  for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
    site.addServer(id, [resets](const Seen& /*seen*/) {
      Script script{signedAnswer("served")};
      if (*resets) {
        script.answer.clear();
        script.resets = true;
      }
      return script;
    });
  }
  const RunningGateway gateway(RunningGateway::settings("a", site.storeAddress(), site));
  for (int arrival = 0; arrival < 10; ++arrival) {
    CHECK(has(sendCrashing(gateway, "/safe/a", arrival), "HTTP/1.1 502"));
  }
  *resets = false;
  CHECK(sendCrashing(gateway, "/safe/a", 1).ends_with("served"));
  CHECK(has(gateway.metrics(), "quincewick_server_ends_total 0"));
}

}  // namespace
}  // namespace quincewick::gateway
