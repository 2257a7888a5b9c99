// Guards against requests to a server that announced in its responses that it leaves. It got some 2.2 to 11.4
// s later, from a gateway that had forwarded such a response; 2 s are allowed. The platform's store did not
// respond, so the server was still listed as ready, and the gateway read only the list. The first two cases
// failed then.
#include <catch2/catch.hpp>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

// A service with a server that announces that it leaves while it is listed as ready.
struct LeavingSite : Fixture {
  LeavingSite() {
    site.addServer("i-leaving", [](const Seen& /*seen*/) {
      return Script{answerOf(200,
                             {{"Quincewick-Response-Signature", "s"},
                              {"Quincewick-Attempt-Id", "attempt-1"},
                              {"Server-Leaving", "1"}},
                             "leaving")};
    });
  }
  size_t requestsAtLeaving() const {
    const std::vector<Seen> all = site.seen();
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [](const Seen& seen) { return seen.server == "i-leaving"; }));
  }
};

TEST_CASE_METHOD(
    LeavingSite,
    "a server that announced that it leaves gets no new requests, though it is listed as ready") {
  const RunningGateway gateway(RunningGateway::settings("a", site.storeAddress(), site));
  CHECK(gateway.ask("/safe/a", kKey).ends_with("leaving"));
  site.addServer("i-other", [](const Seen& /*seen*/) { return Script{signedAnswer("other")}; });
  await([&gateway] { return has(gateway.metrics(), "quincewick_servers 2\n"); });
  for (int attempt = 0; attempt < 20; ++attempt) {
    CHECK(gateway.ask("/once/a", kKey).ends_with("other"));
  }
  CHECK(requestsAtLeaving() == 1);
}

TEST_CASE_METHOD(LeavingSite, "requests are rejected at once if the only server announced that it leaves") {
  const RunningGateway gateway(site);
  CHECK(gateway.ask("/safe/a", kKey).ends_with("leaving"));
  for (int attempt = 0; attempt < 5; ++attempt) {
    const std::string answer = gateway.ask("/once/a", kKey);
    CHECK(has(answer, "HTTP/1.1 503"));
    CHECK(has(answer, "Retry-After"));
  }
  CHECK(requestsAtLeaving() == 1);
}

}  // namespace
}  // namespace quincewick::gateway
