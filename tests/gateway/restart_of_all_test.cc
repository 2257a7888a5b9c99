// Guards against requests that all gateways reject for a second or more after they were started again, though
// no server needs that, and against wrong times to return.
#include <absl/strings/numbers.h>

#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "gateway/soundness_record.h"
#include "partition_site.h"

namespace quincewick::gateway {
namespace {

using Gateways = std::vector<std::unique_ptr<RunningGateway>>;

struct RestartedSite : Fixture {
  RestartedSite() {
    for (const char* const id : {"i-1", "i-2"}) {
      site.addServer(id, [](const Seen& /*seen*/) { return Script{signedAnswer("served")}; });
    }
  }

  Gateways start(bool site_is_new) const {
    Gateways gateways;
    for (const char* const id : {"a", "b"}) {
      GatewaySettings settings = RunningGateway::settings(id, site.storeAddress(), site);
      settings.site_is_new = site_is_new;
      gateways.push_back(std::make_unique<RunningGateway>(settings));
    }
    return gateways;
  }
};

// Guards against a quarantine of permits for servers that were known to need none.
TEST_CASE_METHOD(RestartedSite,
                 "after a restart of all gateways requests to sound servers are sent at once") {
  Gateways gateways = start(true);
  int polls = 0;
  await([&] {
    CHECK(has(gateways[0]->ask("/safe/a", kKey), "served"));
    CHECK(has(gateways[1]->ask("/safe/a", kKey), "served"));
    return site.hasRows(SoundnessRecord::kTable) || ++polls == 100;
  });
  gateways.clear();
  gateways = start(false);
  const std::string answer = gateways[1]->ask("/safe/a", kKey);
  CAPTURE(answer);
  CHECK(has(answer, "served"));
}

// The Retry-After of a response, in seconds; 0 if it has none.
double retryAfterOf(const std::string& answer) {
  const size_t place = answer.find("Retry-After: ");
  double seconds = 0;
  const bool is_read =
      place != std::string::npos &&
      absl::SimpleAtod(answer.substr(place + 13, answer.find('\r', place) - place - 13), &seconds);
  return is_read ? seconds : 0;
}

// Guards against a Retry-After of up to five seconds while it is known that requests are sent after one.
TEST_CASE_METHOD(RestartedSite, "a rejection after a restart of all gateways tells when requests are sent") {
  constexpr double kMostQuarantine = 1.05;  // seconds
  constexpr double kSpread = 1.25;
  Gateways gateways = start(true);
  gateways.clear();
  gateways = start(false);
  std::mutex mutex;
  std::vector<double> told;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 24; ++caller) {
    callers.emplace_back([&, caller] {
      const std::string answer = gateways[caller % 2]->ask("/safe/a", kKey);
      const std::lock_guard lock(mutex);
      if (has(answer, "no_permit")) {
        told.push_back(retryAfterOf(answer));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CAPTURE(told);
  for (const double seconds : told) {
    CHECK(seconds > 0);
    CHECK(seconds <= kMostQuarantine * kSpread);
  }
}

}  // namespace
}  // namespace quincewick::gateway
