#include "forwarding/retry_budget.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <vector>

namespace quincewick::forwarding {
namespace {

const ServiceName kService("pool");

// Nodes start, die and start again; each knows all that ever started, but for the newest.
TEST_CASE("repeats of all nodes stay within the site's budget in every window") {
  CHECK(rc::check([] {
    constexpr double ratio = 0.2;
    constexpr double site_constant = 54;
    const size_t nodes = *rc::gen::inRange<size_t>(1, 120);
    RetryBudgetSettings settings;
    settings.ratio = ratio;
    settings.constant = site_constant;
    absl::Time now = absl::UnixEpoch();
    const auto start = [&] {
      RetryBudget budget(settings);
      budget.noteNodes(nodes - nodes / 6, now);
      return budget;
    };
    std::vector<RetryBudget> budgets(nodes, start());
    std::vector<absl::Time> requests;
    std::vector<absl::Time> repeats;
    for (int step = 0; step < 600; ++step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 200));
      RetryBudget& budget = budgets[*rc::gen::inRange<size_t>(0, nodes)];
      const int what = *rc::gen::inRange(0, 20);
      if (what == 0) {
        budget = start();
      } else if (what < 6) {
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

TEST_CASE("a node that knows no others has none of the constant part, one that just started half") {
  const absl::Time start = absl::UnixEpoch();
  const auto repeats_at = [](RetryBudget budget, absl::Time now) {
    int repeats = 0;
    while (budget.tryRepeat(kService, now)) {
      ++repeats;
    }
    return repeats;
  };
  RetryBudget budget({0, 320, absl::Seconds(10), 16});
  CHECK(repeats_at(budget, start) == 0);
  budget.noteNodes(20, start);
  CHECK(repeats_at(budget, start + absl::Seconds(9)) == 5);
  CHECK(repeats_at(budget, start + absl::Seconds(10)) == 10);
}

// Finding F9: a sixteenth each was a budget five times over at 79 gateways.
TEST_CASE("the constant part is divided by more nodes than are known") {
  RetryBudget budget({0, 198, absl::Seconds(10), 16});
  const absl::Time start = absl::UnixEpoch();
  budget.noteNodes(79, start);
  const absl::Time now = start + absl::Seconds(10);
  int repeats = 0;
  while (budget.tryRepeat(kService, now)) {
    ++repeats;
  }
  CHECK(repeats == 1);
}

TEST_CASE("a service's repeats are of no concern to another") {
  RetryBudget budget({0, 16, absl::Seconds(10), 16});
  budget.noteNodes(1, absl::UnixEpoch());
  const absl::Time now = absl::UnixEpoch() + absl::Seconds(10);
  CHECK(budget.tryRepeat(kService, now));
  CHECK_FALSE(budget.tryRepeat(kService, now));
  CHECK(budget.tryRepeat(ServiceName("other"), now));
  CHECK(budget.tryRepeat(kService, now + absl::Seconds(11)));
}

}  // namespace
}  // namespace quincewick::forwarding
