#include "forwarding/retry_budget.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace quincewick::forwarding {
namespace {

const ServiceName kService("pool");
constexpr double kAnyPhase = 0.5;
constexpr absl::Duration kWindow = absl::Seconds(10);  // of the site's bound

// Nodes start, crash and restart; each knows all that ever started except the latest ones.
TEST_CASE("retries of all nodes stay within the site's budget in every window") {
  CHECK(rc::check([] {
    constexpr double ratio = 0.2;
    constexpr double site_constant = 54;
    const size_t nodes = *rc::gen::inRange<size_t>(1, 120);
    constexpr absl::Duration window = absl::Seconds(10);
    RetryBudgetSettings settings;
    settings.ratio = ratio;
    settings.constant = site_constant;
    absl::Time now = absl::UnixEpoch();
    const auto start = [&] {
      RetryBudget budget(settings, kAnyPhase);
      budget.noteNodes(nodes - nodes / 6);
      return budget;
    };
    std::vector<RetryBudget> budgets(nodes, start());
    std::vector<absl::Time> requests;
    std::vector<absl::Time> retries;
    for (int step = 0; step < 600; ++step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 200));
      RetryBudget& budget = budgets[*rc::gen::inRange<size_t>(0, nodes)];
      const int action = *rc::gen::inRange(0, 20);
      if (action == 0) {
        budget = start();
      } else if (action < 6) {
        budget.noteRequest(kService);
        requests.push_back(now);
      } else if (budget.tryAcquireRetry(kService)) {
        retries.push_back(now);
      }
    }
    // Requests may be counted in the window or in one shortly before it.
    for (const absl::Time& end : retries) {
      const auto in = [&](const std::vector<absl::Time>& times, absl::Duration width) {
        return std::count_if(times.begin(), times.end(),
                             [&](absl::Time time) { return time > end - width && time <= end; });
      };
      const auto allowed = ratio * static_cast<double>(in(requests, window * 2)) + site_constant;
      RC_ASSERT(static_cast<double>(in(retries, window)) <= allowed);
    }
  }));
}

// Guards against exceeding the budget while nodes stop in turn: 79 nodes sent 1,304 retries within 10 s where
// 1,127 were allowed for 4,645 requests, while all servers rejected three requests in ten. One request
// allowed retries in two windows, at one node or at two: the unused part of a calm window was spent at once,
// and clients that moved from a stopped node were counted again at the next, since each node's part grew with
// the requests of its own last window. The simulation runs nodes, clients and failures in virtual time.

// Rounding phases spread over 0 to 1, a different one for each start.
struct Phases {
  double last = 0;
  double next() {
    double whole = 0;
    last = std::modf(last + 0.6180339887498949, &whole);
    return last;
  }
};

struct Site {
  struct Node {
    RetryBudget budget;
    bool is_up = true;
  };
  RetryBudgetSettings settings;
  size_t node_count;
  Phases phases;
  std::vector<Node> nodes;
  std::vector<size_t> home;  // of each caller: the node it is connected to
  std::vector<absl::Time> requests;
  std::vector<absl::Time> retries;
  absl::Time now = absl::UnixEpoch();

  Site(const RetryBudgetSettings& given, size_t all_nodes, size_t caller_count)
      : settings(given), node_count(all_nodes) {
    for (size_t index = 0; index < node_count; ++index) {
      nodes.push_back({started(true)});
    }
    for (size_t caller = 0; caller < caller_count; ++caller) {
      home.push_back(caller % node_count);
    }
  }

  RetryBudget started(bool site_is_new) {
    RetryBudgetSettings own = settings;
    own.site_is_new = site_is_new;
    RetryBudget budget(own, phases.next());
    budget.noteNodes(std::max(nodes.size(), node_count));
    return budget;
  }
  // Its clients move to the next running node; a later start uses a new process.
  void stop(size_t index) {
    nodes[index].is_up = false;
    for (size_t& node : home) {
      while (!nodes[node].is_up) {
        node = (node + 1) % nodes.size();
      }
    }
  }
  void start(size_t index) { nodes[index] = {started(false)}; }

  // A client sends a request, which fails at `failures` servers in a row.
  void sendRequest(size_t caller, int failures) {
    RetryBudget& budget = nodes[home[caller]].budget;
    budget.noteRequest(kService);
    requests.push_back(now);
    while (failures-- > 0 && budget.tryAcquireRetry(kService)) {
      retries.push_back(now);
    }
  }

  static double within(const std::vector<absl::Time>& times, absl::Time begin, absl::Duration width) {
    const auto first = std::lower_bound(times.begin(), times.end(), begin);
    return static_cast<double>(std::lower_bound(first, times.end(), begin + width) - first);
  }
  // The maximum number of retries over what a window allows. Its requests are counted in the window itself,
  // in the one before it, or half a window earlier, whichever allows most.
  double excess() const {
    double most = 0;
    for (const absl::Time& begin : retries) {
      const absl::Duration width = kWindow;
      const double counted_requests =
          std::max({within(requests, begin, width), within(requests, begin - width, width),
                    within(requests, begin - width / 2, width)});
      most = std::max(most,
                      within(retries, begin, width) - settings.ratio * counted_requests - settings.constant);
    }
    return most;
  }
};

TEST_CASE("retries stay within the budget while nodes stop in turn and their clients move") {
  Site site({0.2, 198, 16}, 79, 460);
  constexpr absl::Duration step = absl::Milliseconds(10);
  size_t next_stopped = 0;
  size_t next_started = 0;
  for (int tick = 0; tick < 3000; ++tick) {
    site.now += step;
    const bool fails = tick > 1000;
    for (int request = 0; request < 5; ++request) {
      const size_t caller = static_cast<size_t>(tick * 5 + request) * 7 % site.home.size();
      site.sendRequest(caller, fails && (tick + request) % 10 < 3 ? 1 : 0);
    }
    if (tick > 1100 && tick % 7 == 0 && next_stopped < site.nodes.size()) {
      site.stop(next_stopped++);
    }
    if (tick > 1400 && tick % 7 == 0 && next_started < next_stopped) {
      site.start(next_started++);
    }
  }
  CHECK(site.excess() <= 0);
}

TEST_CASE("retries stay within the budget for any starts, stops and requests") {
  CHECK(rc::check([] {
    const RetryBudgetSettings settings{0.2, static_cast<double>(*rc::gen::inRange(54, 700)), 16};
    Site site(settings, *rc::gen::inRange<size_t>(2, 80), *rc::gen::inRange<size_t>(20, 400));
    for (int step = 0; step < 400; ++step) {
      site.now += absl::Milliseconds(*rc::gen::inRange(0, 250));
      const size_t node = *rc::gen::inRange<size_t>(0, site.nodes.size());
      const size_t up = static_cast<size_t>(std::count_if(
          site.nodes.begin(), site.nodes.end(), [](const Site::Node& other) { return other.is_up; }));
      const int action = *rc::gen::inRange(0, 10);
      if (action == 0) {
        site.start(node);
      } else if (action == 1 && up > 1 && site.nodes[node].is_up) {
        site.stop(node);
      } else {
        const int request_count = *rc::gen::inRange(1, 60);
        const int failures = *rc::gen::inRange(0, 3);
        for (int request = 0; request < request_count; ++request) {
          site.sendRequest(static_cast<size_t>(request * 13 + step) % site.home.size(), failures);
        }
      }
    }
    RC_ASSERT(site.excess() <= 0);
  }));
}

TEST_CASE("under steady load nearly the whole share that grows with requests is available") {
  Site site({0.2, 54, 16}, 7, 70);
  for (int tick = 0; tick < 3000; ++tick) {
    site.now += absl::Milliseconds(10);
    site.sendRequest(static_cast<size_t>(tick) % site.home.size(), tick % 2);
  }
  CHECK(static_cast<double>(site.retries.size()) >= 0.9 * 0.2 * static_cast<double>(site.requests.size()));
}

// Retries that the node may send at once.
int retriesAtOnce(RetryBudget budget) {
  int retries = 0;
  while (budget.tryAcquireRetry(kService)) {
    ++retries;
  }
  return retries;
}

TEST_CASE("a node that has just started, or knows no nodes, has no part of the constant") {
  RetryBudget budget({0.2, 320, 16}, kAnyPhase);
  CHECK(retriesAtOnce(budget) == 0);
  for (int request = 0; request < 1000; ++request) {
    budget.noteRequest(kService);
  }
  CHECK(retriesAtOnce(budget) == 0);
  budget.noteNodes(20);
  CHECK(retriesAtOnce(budget) == 0);
  for (int request = 0; request < 5; ++request) {
    budget.noteRequest(kService);
  }
  CHECK(retriesAtOnce(budget) == 1);
  for (int request = 0; request < 1000; ++request) {
    budget.noteRequest(kService);
  }
  CHECK(retriesAtOnce(budget) == 10);
}

// With a sixteenth for each, 79 gateways had five times the budget.
TEST_CASE("the constant part is divided by more nodes than are known") {
  RetryBudget budget({0.2, 198, 16}, kAnyPhase);
  budget.noteNodes(79);
  for (int request = 0; request < 1000; ++request) {
    budget.noteRequest(kService);
  }
  CHECK(retriesAtOnce(budget) == 1);
}

TEST_CASE("on a new site the first request that fails may be retried") {
  RetryBudget budget({0.2, 320, 16, true}, kAnyPhase);
  budget.noteNodes(20);
  budget.noteRequest(kService);
  CHECK(retriesAtOnce(budget) == 10);
}

TEST_CASE("a node that learns of more nodes drops tokens beyond its new capacity") {
  RetryBudget budget({0.2, 320, 16}, kAnyPhase);
  budget.noteNodes(10);
  for (int request = 0; request < 1000; ++request) {
    budget.noteRequest(kService);
  }
  CHECK(budget.left(kService) == 20);
  budget.noteNodes(200);
  CHECK(budget.left(kService) == 1);
}

TEST_CASE("services have independent buckets") {
  RetryBudget budget({1, 16, 16}, kAnyPhase);
  budget.noteNodes(1);
  budget.noteRequest(kService);
  budget.noteRequest(ServiceName("other"));
  CHECK(budget.tryAcquireRetry(kService));
  CHECK_FALSE(budget.tryAcquireRetry(kService));
  CHECK(budget.tryAcquireRetry(ServiceName("other")));
  CHECK(budget.minimumLeft() == 0);
}

// With 300 nodes the capacity of each is at most a sixth of a retry.
TEST_CASE("if a node's part is below one retry, some nodes still retry") {
  Site site({0.2, 80, 16}, 300, 300);
  for (int request = 0; request < 6000; ++request) {
    site.now += absl::Milliseconds(5);
    site.sendRequest(static_cast<size_t>(request) % site.home.size(), 1);
  }
  const auto retries = static_cast<double>(site.retries.size());
  CHECK(retries >= 0.75 * 0.2 * 6000);
  CHECK(site.excess() <= 0);
}

}  // namespace
}  // namespace quincewick::forwarding
