// Guards against a prompt part that crashes every server that begins to answer a request with it. No two of
// these requests are alike, so that no single request was ever quarantined: after five crashes, 24 more
// requests with the part reached 24 to 38 servers. Sound requests share the caller and all other parts.
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

// All gateways that reach each other know of the fifth crash within it.
constexpr std::chrono::seconds kContactTime(3);
constexpr std::chrono::milliseconds kBetweenCrashes(300);
constexpr size_t kCrashesAllowed = 5;
constexpr size_t kFurtherSendsAllowed = 3;
constexpr int kArrivals = 24;
constexpr int kServers = 90;
constexpr int kEveryNthCrashes = 6;

using Parts = std::vector<std::string>;

std::string valueOf(const HttpHead& head, const char* name) {
  const std::string* const value = findField(head.fields, name);
  return value == nullptr ? "" : *value;
}

// The parts of a request's prompt but the last, which is its own.
Parts sharedParts(const HttpHead& head) {
  Parts parts = absl::StrSplit(valueOf(head, "Quincewick-Prompt-Prefix"), ',', absl::SkipEmpty());
  for (std::string& part : parts) {
    part = part.substr(0, part.find(':'));
  }
  if (!parts.empty()) {
    parts.pop_back();
  }
  return parts;
}

Script serve(const Seen& seen) {
  const bool is_stream = !seen.head.target.starts_with("/safe/");
  return Script{answerOf(200,
                         {{"Quincewick-Response-Signature", "s"},
                          {"Quincewick-Attempt-Id", valueOf(seen.head, "Quincewick-Attempt-Id")},
                          {"Content-Type", is_stream ? "text/event-stream" : "application/json"}},
                         "id: 1\ndata: served\n\n")};
}

// Servers that crash when they begin to answer a request with one of the `deadly` parts. Those of other
// requests, all of which are sound, are served.
struct CrashingPartsSite : Fixture {
  std::set<std::string> deadly = {"dead1", "dead2"};
  std::atomic<bool> are_deadly = true;

  CrashingPartsSite() {
    for (int index = 0; index < kServers; ++index) {
      site.addServer(absl::StrCat("i-", index), [this](const Seen& seen) {
        Script script = serve(seen);
        if (are_deadly && isDeadly(seen)) {
          script = {};
          script.crashes = true;
        }
        return script;
      });
    }
  }

  bool isDeadly(const Seen& seen) const {
    const Parts parts = sharedParts(seen.head);
    return std::any_of(parts.begin(), parts.end(),
                       [this](const auto& part) { return deadly.contains(part); });
  }

  size_t deadlySends() const {
    const std::vector<Seen> all = site.seen();
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [this](const Seen& seen) { return isDeadly(seen); }));
  }

  GatewaySettings settingsOf(const std::string& id) const {
    GatewaySettings result = RunningGateway::settings(id, site.storeAddress(), site);
    result.bounds.retry_ratio = 2;
    return result;
  }

  // Sends a request with these shared parts, and a last part and a body of its own. Returns the response.
  std::string send(const RunningGateway& gateway, const std::string& target, Parts parts) {
    const std::string own = absl::StrCat("ff", ++last_request_);
    parts.push_back(own);
    HeaderFields fields = {{"Host", "h"},
                           {"Connection", "close"},
                           {"Quincewick-Attempt-Id", absl::StrCat("attempt-", own)},
                           {"Quincewick-Model", "m"},
                           {"Quincewick-Token-Usage", "100,10"},
                           {"Quincewick-Prompt-Prefix", absl::StrJoin(parts, ":25,") + ":25"},
                           {"Content-Length", absl::StrCat(own.size())}};
    fields.insert(fields.end(), kKey.begin(), kKey.end());
    return gateway.ask(printRequestHead("POST", target, fields) + own);
  }

  bool isServed(const RunningGateway& gateway, const std::string& target, const Parts& parts) {
    return has(send(gateway, target, parts), "data: served");
  }

 private:
  int last_request_ = 0;
};

// Requests with a part that crashes servers, and sound ones beside them.
struct Traffic {
  std::string target;
  Parts deadly;
  Parts sound;
};

using Gateways = std::vector<const RunningGateway*>;

void crashServers(CrashingPartsSite& site, const Gateways& gateways, const Traffic& traffic) {
  const size_t before = site.deadlySends();
  for (size_t arrival = 0; site.deadlySends() - before < kCrashesAllowed; ++arrival) {
    site.send(*gateways[arrival % gateways.size()], traffic.target, traffic.deadly);
    std::this_thread::sleep_for(kBetweenCrashes);
  }
}

// Sends both kinds of requests in turn through all gateways and checks what is allowed of each.
void checkFurtherArrivals(CrashingPartsSite& site, const Gateways& gateways, const Traffic& traffic) {
  const size_t before = site.deadlySends();
  int served = 0;
  for (size_t arrival = 0; arrival < kArrivals; ++arrival) {
    const RunningGateway& gateway = *gateways[arrival % gateways.size()];
    site.send(gateway, traffic.target, traffic.deadly);
    served += site.isServed(gateway, traffic.target, traffic.sound) ? 1 : 0;
  }
  CHECK(site.deadlySends() - before <= kFurtherSendsAllowed);
  CHECK(served == kArrivals);
}

void checkTraffic(CrashingPartsSite& site, const Traffic& traffic) {
  const RunningGateway first(site.settingsOf("a"));
  const RunningGateway second(site.settingsOf("b"));
  awaitPeer(first);
  awaitPeer(second);
  crashServers(site, {&first, &second}, traffic);
  std::this_thread::sleep_for(kContactTime);
  checkFurtherArrivals(site, {&first, &second}, traffic);
}

TEST_CASE_METHOD(CrashingPartsSite,
                 "a middle part that crashed five servers reaches few more, in requests that may run again") {
  checkTraffic(*this, {"/safe/a", {"a0", "dead1"}, {"a0", "b1"}});
}

TEST_CASE_METHOD(CrashingPartsSite, "a first part that crashed five servers reaches few more, in streams") {
  checkTraffic(*this, {"/stream/a", {"dead1", "a1"}, {"a0", "a1"}});
}

TEST_CASE_METHOD(CrashingPartsSite, "a part between two others that crashed five servers reaches few more") {
  checkTraffic(*this, {"/stream/a", {"a0", "dead1", "a2"}, {"a0", "b1", "a2"}});
}

TEST_CASE_METHOD(CrashingPartsSite,
                 "a part that crashed five servers reaches few more through a gateway that starts later") {
  const Traffic traffic = {"/resumed/a", {"a0", "dead1"}, {"a0", "b1"}};
  const RunningGateway first(settingsOf("a"));
  const RunningGateway second(settingsOf("b"));
  awaitPeer(first);
  awaitPeer(second);
  crashServers(*this, {&first, &second}, traffic);
  const RunningGateway third(settingsOf("c"));
  std::this_thread::sleep_for(kContactTime);
  checkFurtherArrivals(*this, {&first, &second, &third}, traffic);
}

TEST_CASE_METHOD(CrashingPartsSite,
                 "two parts that crash servers, on two routes, reach few more servers each") {
  const Traffic one = {"/stream/a", {"a0", "dead1"}, {"a0", "b1"}};
  const Traffic other = {"/safe/a", {"dead2", "c1"}, {"c0", "c1"}};
  const RunningGateway first(settingsOf("a"));
  const RunningGateway second(settingsOf("b"));
  awaitPeer(first);
  awaitPeer(second);
  crashServers(*this, {&first, &second}, one);
  crashServers(*this, {&second, &first}, other);
  std::this_thread::sleep_for(kContactTime);
  checkFurtherArrivals(*this, {&first, &second}, one);
  checkFurtherArrivals(*this, {&first, &second}, other);
}

// Each server crashes with every sixth of its requests, whatever these hold.
TEST_CASE_METHOD(Fixture, "servers that crash by themselves get no sound part rejected") {
  auto streams = std::make_shared<int>(0);
  for (int index = 0; index < kServers; ++index) {
    site.addServer(absl::StrCat("i-", index), [streams](const Seen& seen) {
      Script script = serve(seen);
      if (++*streams % kEveryNthCrashes == 0) {
        script = {};
        script.crashes = true;
      }
      return script;
    });
  }
  const RunningGateway gateway(RunningGateway::settings("a", site.storeAddress(), site));
  for (int arrival = 0; arrival < 60; ++arrival) {
    const HeaderFields fields = {
        {"Authorization", "Bearer key"},
        {"Quincewick-Model", "m"},
        {"Quincewick-Token-Usage", "100,10"},
        {"Quincewick-Prompt-Prefix", absl::StrCat("a0:25,a1:25,ff", arrival, ":25")}};
    CHECK_FALSE(has(gateway.ask("/stream/a", fields, absl::StrCat(arrival)), "ends_servers"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

}  // namespace
}  // namespace quincewick::gateway
