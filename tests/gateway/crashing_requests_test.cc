// Seen: on a site of 7 gateways one request ended 14 engines and another one 17, each as soon as an engine
// began to run it; whatever else ran there was cut. How it came about: the caller sent the same request again
// and again, under new ids, to any gateway; each gateway tried it, some of them twice for one arrival. Cause:
// what is known of a request's runs lived in one exchange at one gateway. Nothing knew that it had come
// before, so nothing bounded what it did over its arrivals.
// Proof: the first case here. After three servers had ended, ten more arrivals at two gateways ended fourteen
// more.
#include <catch2/catch.hpp>
#include <thread>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

// Within it, all gateways in touch know of the third server that a request ended.
constexpr std::chrono::seconds kContact(3);
constexpr size_t kServersToBlame = 3;
constexpr size_t kFurtherSends = 3;
constexpr const char* kDeadly = "deadly";

// A site of many servers. A request with the deadly body ends the one that begins to run it; others are
// served.
struct CrashingSite : Fixture {
  explicit CrashingSite(size_t servers = 40) {
    for (size_t index = 0; index < servers; ++index) {
      site.addServer(absl::StrCat("i-", index), [](const Seen& seen) {
        Script script{signedAnswer("served")};
        if (seen.body == kDeadly) {
          script.answer.clear();
          script.crashes = true;
        }
        return script;
      });
    }
  }

  size_t deadlySends() const {
    const std::vector<Seen> all = site.seen();
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [](const Seen& seen) { return seen.body == kDeadly; }));
  }
};

// The caller's attempt has a new id each time, and other fields than before.
std::string askDeadly(const RunningGateway& gateway, const std::string& target, int attempt) {
  HeaderFields fields = {{"Host", "h"},
                         {"Connection", "close"},
                         {"Quincewick-Attempt-Id", absl::StrCat("attempt-", attempt)},
                         {"X-Trace", absl::StrCat(attempt)},
                         {"Content-Length", absl::StrCat(std::string(kDeadly).size())}};
  fields.insert(fields.end(), kKey.begin(), kKey.end());
  return gateway.ask(printRequestHead("POST", target, fields) + kDeadly);
}

TEST_CASE_METHOD(CrashingSite, "a request that ended three servers reaches few more at any gateway") {
  const RunningGateway first(RunningGateway::settings("a", site.storeAddress(), site));
  const RunningGateway second(RunningGateway::settings("b", site.storeAddress(), site));
  awaitPeer(first);
  awaitPeer(second);
  int attempt = 0;
  while (deadlySends() < kServersToBlame) {
    askDeadly(first, "/safe/a", ++attempt);
  }
  std::this_thread::sleep_for(kContact);
  const size_t before = deadlySends();
  for (int arrival = 0; arrival < 5; ++arrival) {
    askDeadly(first, "/safe/a", ++attempt);
    askDeadly(second, "/safe/a", ++attempt);
  }
  CHECK(deadlySends() - before <= kFurtherSends);
  CHECK(first.ask("/safe/a", kKey, "sound").ends_with("served"));
  CHECK(second.ask("/safe/a", kKey, "sound").ends_with("served"));
}

}  // namespace
}  // namespace quincewick::gateway
