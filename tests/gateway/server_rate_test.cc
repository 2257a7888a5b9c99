// Seen: servers that had named a limit of 1 and 1.1 requests a second got 13 and 16 within 4 s from gateways
// that they had told; 11 and 12 were allowed. Cause: nothing read what a server says of itself in its
// answers; only the platform's list of servers was asked. Proof: the first two cases here, which went red on
// that code.
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

// From then on a gateway that passed on such an answer is bound by it.
constexpr std::chrono::milliseconds kReported(500);

// A service with a server that names a rate, `reported_rate`, in its answers; empty: none.
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
  size_t atLimited() const {
    const std::vector<Seen> all = site.seen();
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [](const Seen& seen) { return seen.server == "i-limited"; }));
  }
};

// Asks until the limited server has answered through the gateway.
void reportRate(const RateSite& site, const RunningGateway& gateway) {
  const size_t before = site.atLimited();
  while (site.atLimited() == before) {
    gateway.ask("/safe/a", kKey);
  }
}

void awaitServers(const RunningGateway& gateway, int count) {
  await([&] { return has(gateway.metrics(), absl::StrCat("quincewick_servers ", count, "\n")); });
}

// What the site promises a server that named a rate of 1 a second, for requests over so long.
double allowed(std::chrono::duration<double> time) {
  return 1.5 * std::max(4.0, time.count()) + 5;
}

// Two gateways that were told went on as before: the limited server was the quicker one.
TEST_CASE_METHOD(RateSite,
                 "gateways that a server told its rate together keep to it, and others serve the rest") {
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
  const size_t before = atLimited();
  const auto begin = std::chrono::steady_clock::now();
  for (int asked = 0; asked < 50; ++asked) {
    CHECK(first.ask("/safe/a", kKey).ends_with("served"));
    CHECK(second.ask("/safe/a", kKey).ends_with("served"));
  }
  const auto took = std::chrono::steady_clock::now() - begin;
  CHECK(static_cast<double>(atLimited() - before) <= allowed(took));
}

// It had no other server: all went there.
TEST_CASE_METHOD(
    RateSite, "where only a limited server is left, the rest is rejected at once and told when to return") {
  const RunningGateway gateway(site);
  reportRate(*this, gateway);
  std::this_thread::sleep_for(kReported);
  const size_t before = atLimited();
  const auto begin = std::chrono::steady_clock::now();
  size_t rejected = 0;
  for (int asked = 0; asked < 50; ++asked) {
    const std::string answer = gateway.ask("/once/a", kKey);
    const bool is_rejected = has(answer, "HTTP/1.1 503");
    CHECK((is_rejected || answer.ends_with("served")));
    CHECK(has(answer, "Retry-After") == is_rejected);
    rejected += is_rejected ? 1 : 0;
  }
  const auto took = std::chrono::steady_clock::now() - begin;
  const size_t reached = atLimited() - before;
  CHECK(reached == 50 - rejected);
  CHECK(static_cast<double>(reached) <= allowed(took));
}

TEST_CASE_METHOD(RateSite, "a server that names no rate any more gets all requests again") {
  const RunningGateway gateway(site);
  reportRate(*this, gateway);
  setRate("");
  // The next answer that the rate lets through ends it.
  await([&gateway] { return gateway.ask("/once/a", kKey).ends_with("served"); });
  for (int asked = 0; asked < 30; ++asked) {
    CHECK(gateway.ask("/once/a", kKey).ends_with("served"));
  }
}

TEST_CASE_METHOD(RateSite, "a rate that can't be read limits nothing, and is told") {
  for (const char* malformed : {"", "many", "-1", "nan", "inf", "1,2"}) {
    setRate(malformed);
    const RunningGateway gateway(RunningGateway::settings("a", site.storeAddress(), site));
    for (int asked = 0; asked < 30; ++asked) {
      CHECK(gateway.ask("/once/a", kKey).ends_with("served"));
    }
    CAPTURE(malformed);
    const bool is_malformed = *malformed != '\0';
    CHECK(has(gateway.metrics(), R"(quincewick_back_pressure_total{what="unreadable"} 30)") == is_malformed);
  }
}

// Else nobody would learn that its limit ended.
TEST_CASE_METHOD(RateSite, "a server that wants nothing at all is still asked now and then") {
  setRate("0");
  const RunningGateway gateway(site);
  reportRate(*this, gateway);
  const size_t before = atLimited();
  await([&] {
    gateway.ask("/once/a", kKey);
    return atLimited() > before + 1;
  });
}

}  // namespace
}  // namespace quincewick::gateway
