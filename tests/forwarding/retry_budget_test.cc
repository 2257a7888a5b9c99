#include "forwarding/retry_budget.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <vector>

namespace quincewick::forwarding {
namespace {

const ServiceName kService("pool");

TEST_CASE("repeats of all nodes stay within the site's budget in every window") {
  CHECK(rc::check([] {
    constexpr double ratio = 0.2;
    constexpr double site_constant = 54;
    const size_t nodes = *rc::gen::inRange<size_t>(1, 17);
    RetryBudgetSettings settings;
    settings.ratio = ratio;
    settings.constant_share = site_constant / 16;
    std::vector<RetryBudget> budgets(nodes, RetryBudget(settings));
    std::vector<absl::Time> requests;
    std::vector<absl::Time> repeats;
    absl::Time now = absl::UnixEpoch();
    for (int step = 0; step < 400; ++step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 200));
      RetryBudget& budget = budgets[*rc::gen::inRange<size_t>(0, nodes)];
      if (*rc::gen::inRange(0, 3) == 0) {
        budget.noteRequest(kService, now);
        requests.push_back(now);
      } else if (budget.tryRepeat(kService, now)) {
        repeats.push_back(now);
      }
    }
    // Requests may be counted in the window or in one shortly before it.
    for (const absl::Time& end : repeats) {
      const auto in = [&](const std::vector<absl::Time>& times, absl::Duration width) {
        return std::count_if(times.begin(), times.end(),
                             [&](absl::Time time) { return time > end - width && time <= end; });
      };
      const auto allowed = ratio * static_cast<double>(in(requests, settings.window * 2)) + site_constant;
      RC_ASSERT(static_cast<double>(in(repeats, settings.window)) <= allowed);
    }
  }));
}

TEST_CASE("a service's repeats are of no concern to another") {
  RetryBudget budget({0, 1, absl::Seconds(10)});
  const absl::Time now = absl::UnixEpoch();
  CHECK(budget.tryRepeat(kService, now));
  CHECK_FALSE(budget.tryRepeat(kService, now));
  CHECK(budget.tryRepeat(ServiceName("other"), now));
  CHECK(budget.tryRepeat(kService, now + absl::Seconds(11)));
}

}  // namespace
}  // namespace quincewick::forwarding
