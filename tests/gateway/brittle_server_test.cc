// Guards against servers that fall over under the requests that they have to reject: brittle servers fell
// over 20 times where 3 were allowed, for nothing read how many rejections a server stands.
#include <catch2/catch.hpp>
#include <thread>

#include "running_gateway.h"

namespace quincewick::gateway {
namespace {

constexpr size_t kMaxRejections = 3;  // a second that each server stands
constexpr size_t kServers = 3;
constexpr size_t kCallersPerGateway = 8;
constexpr auto kDuration = std::chrono::seconds(4);

// Servers without room: they reject every request, and say that they are brittle.
struct BrittleSite : Fixture {
  BrittleSite() {
    for (size_t server = 0; server < kServers; ++server) {
      const std::string id = absl::StrCat("i-", server);
      site.addServer(id, [this, id](const Seen& /*seen*/) {
        const std::lock_guard lock(mutex);
        rejected[id].push_back(std::chrono::steady_clock::now());
        return Script{answerOf(
            503, {{"Quincewick-Not-Executed", "1"}, {"Server-Brittle", absl::StrCat(kMaxRejections)}}, "")};
      });
    }
  }

  // The most requests that one server rejected in any second.
  size_t maxRejectionsInASecond() {
    const std::lock_guard lock(mutex);
    size_t most = 0;
    for (const auto& [id, times] : rejected) {
      for (size_t first = 0; first < times.size(); ++first) {
        const auto count = std::count_if(times.begin(), times.end(), [&](const auto& time) {
          return time >= times[first] && time < times[first] + std::chrono::seconds(1);
        });
        most = std::max(most, static_cast<size_t>(count));
      }
    }
    return most;
  }

  std::mutex mutex;
  std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> rejected;
};

void callUntil(const RunningGateway& gateway, std::chrono::steady_clock::time_point end) {
  std::vector<std::thread> callers;
  for (size_t caller = 0; caller < kCallersPerGateway; ++caller) {
    callers.emplace_back([&gateway, end, caller] {
      const std::string target = caller % 2 == 0 ? "/safe/a" : "/once/a";
      while (std::chrono::steady_clock::now() < end) {
        gateway.ask(target, kKey);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

TEST_CASE_METHOD(BrittleSite,
                 "gateways together get no more requests rejected by a brittle server than it stands") {
  const RunningGateway one(RunningGateway::settings("a", site.storeAddress(), site));
  const RunningGateway two(RunningGateway::settings("b", site.storeAddress(), site));
  awaitPeer(one);
  awaitPeer(two);
  const auto end = std::chrono::steady_clock::now() + kDuration;
  std::thread at_one([&] { callUntil(one, end); });
  callUntil(two, end);
  at_one.join();
  CHECK(maxRejectionsInASecond() <= kMaxRejections);
  CHECK(!rejected.empty());
}

}  // namespace
}  // namespace quincewick::gateway
