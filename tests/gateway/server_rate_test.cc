// Guards against requests above a rate limit that a server reports in its responses. Servers with a limit of
// 1 and 1.1 requests per second got 13 and 16 within 4 s from gateways that had received it; 11 and 12 are
// allowed. The gateways ignored the response fields and read only the platform's list of servers. The first
// two cases failed then.
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

// A gateway that forwarded such a response must obey the limit after this time.
constexpr std::chrono::milliseconds kReported(500);

// A service with a server that reports the rate `reported_rate` in its responses; empty: none.
struct RateSite : Fixture {
  std::shared_ptr<std::string> reported_rate = std::make_shared<std::string>("1");
  std::shared_ptr<std::mutex> mutex = std::make_shared<std::mutex>();

  RateSite() {
    site.addServer("i-limited", [reported_rate = reported_rate, mutex = mutex](const Seen& /*seen*/) {
      HeaderFields fields = {{"Quincewick-Response-Signature", "s"}, {"Quincewick-Attempt-Id", "attempt-1"}};
      const std::lock_guard lock(*mutex);
      if (!reported_rate->empty()) {
        fields.push_back({"Server-Limit", *reported_rate});
      }
      return Script{answerOf(200, fields, "served")};
    });
  }

  void addUnlimited() {
    site.addServer("i-other", [](const Seen& /*seen*/) { return Script{signedAnswer("served")}; });
  }
  void setRate(const std::string& rate) {
    const std::lock_guard lock(*mutex);
    *reported_rate = rate;
  }
  size_t requestsAtLimited() const {
    const std::vector<Seen> all = site.seen();
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [](const Seen& seen) { return seen.server == "i-limited"; }));
  }
};

// Sends requests until the limited server has responded through the gateway.
void reportRate(const RateSite& site, const RunningGateway& gateway) {
  const size_t before = site.requestsAtLimited();
  while (site.requestsAtLimited() == before) {
    gateway.ask("/safe/a", kKey);
  }
}

void awaitServers(const RunningGateway& gateway, int count) {
  await([&] { return has(gateway.metrics(), absl::StrCat("quincewick_servers ", count, "\n")); });
}

// Most requests that a server with a rate of 1 per second may get over that time.
double maxRequests(std::chrono::duration<double> time) {
  return 1.5 * std::max(4.0, time.count()) + 5;
}

// Both gateways ignored the limit before, as the limited server was the faster one.
TEST_CASE_METHOD(
    RateSite, "two gateways share a server's reported rate, and other servers take the remaining requests") {
  const RunningGateway first(RunningGateway::settings("a", site.storeAddress(), site));
  const RunningGateway second(RunningGateway::settings("b", site.storeAddress(), site));
  awaitPeer(first);
  awaitPeer(second);
  reportRate(*this, first);
  reportRate(*this, second);
  addUnlimited();
  awaitServers(first, 2);
  awaitServers(second, 2);
  std::this_thread::sleep_for(kReported);
  const size_t before = requestsAtLimited();
  const auto begin = std::chrono::steady_clock::now();
  for (int attempt = 0; attempt < 50; ++attempt) {
    CHECK(first.ask("/safe/a", kKey).ends_with("served"));
    CHECK(second.ask("/safe/a", kKey).ends_with("served"));
  }
  const auto took = std::chrono::steady_clock::now() - begin;
  CHECK(static_cast<double>(requestsAtLimited() - before) <= maxRequests(took));
}

// With no other server, all requests went to the limited one before.
TEST_CASE_METHOD(RateSite,
                 "requests above the rate of the only server are rejected at once with Retry-After") {
  const RunningGateway gateway(site);
  reportRate(*this, gateway);
  std::this_thread::sleep_for(kReported);
  const size_t before = requestsAtLimited();
  const auto begin = std::chrono::steady_clock::now();
  size_t rejected = 0;
  for (int attempt = 0; attempt < 50; ++attempt) {
    const std::string answer = gateway.ask("/once/a", kKey);
    const bool is_rejected = has(answer, "HTTP/1.1 503");
    CHECK((is_rejected || answer.ends_with("served")));
    CHECK(has(answer, "Retry-After") == is_rejected);
    rejected += is_rejected ? 1 : 0;
  }
  const auto took = std::chrono::steady_clock::now() - begin;
  const size_t reached = requestsAtLimited() - before;
  CHECK(reached == 50 - rejected);
  CHECK(static_cast<double>(reached) <= maxRequests(took));
}

TEST_CASE_METHOD(RateSite, "a server that stops reporting a rate gets all requests again") {
  const RunningGateway gateway(site);
  reportRate(*this, gateway);
  setRate("");
  // The next response without a rate lifts the limit.
  await([&gateway] { return gateway.ask("/once/a", kKey).ends_with("served"); });
  for (int attempt = 0; attempt < 30; ++attempt) {
    CHECK(gateway.ask("/once/a", kKey).ends_with("served"));
  }
}

TEST_CASE_METHOD(RateSite, "a malformed rate limits nothing and is counted") {
  for (const char* malformed : {"", "many", "-1", "nan", "inf", "1,2"}) {
    setRate(malformed);
    const RunningGateway gateway(RunningGateway::settings("a", site.storeAddress(), site));
    for (int attempt = 0; attempt < 30; ++attempt) {
      CHECK(gateway.ask("/once/a", kKey).ends_with("served"));
    }
    CAPTURE(malformed);
    const bool is_malformed = *malformed != '\0';
    CHECK(has(gateway.metrics(), R"(quincewick_back_pressure_total{what="unreadable"} 30)") == is_malformed);
  }
}

// Otherwise no gateway would learn that the limit was lifted.
TEST_CASE_METHOD(RateSite, "a server with a rate of 0 still gets a request from time to time") {
  setRate("0");
  const RunningGateway gateway(site);
  reportRate(*this, gateway);
  const size_t before = requestsAtLimited();
  await([&] {
    gateway.ask("/once/a", kKey);
    return requestsAtLimited() > before + 1;
  });
}

}  // namespace
}  // namespace quincewick::gateway
