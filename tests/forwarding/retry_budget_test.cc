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

// Nodes start, die and start again; each knows all that ever started, but for the newest.
TEST_CASE("repeats of all nodes stay within the site's budget in every window") {
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
    std::vector<absl::Time> repeats;
    for (int step = 0; step < 600; ++step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 200));
      RetryBudget& budget = budgets[*rc::gen::inRange<size_t>(0, nodes)];
      const int what = *rc::gen::inRange(0, 20);
      if (what == 0) {
        budget = start();
      } else if (what < 6) {
        budget.noteRequest(kService);
        requests.push_back(now);
      } else if (budget.tryAcquireRetry(kService)) {
        repeats.push_back(now);
      }
    }
    // Requests may be counted in the window or in one shortly before it.
    for (const absl::Time& end : repeats) {
      const auto in = [&](const std::vector<absl::Time>& times, absl::Duration width) {
        return std::count_if(times.begin(), times.end(),
                             [&](absl::Time time) { return time > end - width && time <= end; });
      };
      const auto allowed = ratio * static_cast<double>(in(requests, window * 2)) + site_constant;
      RC_ASSERT(static_cast<double>(in(repeats, window)) <= allowed);
    }
  }));
}

// The incident: 1,304 repeats within 10 s, where 1,127 were allowed for 4,645 requests.
//
// Seen: at 79 nodes that were stopped in turn while all servers refused three requests in ten. How it came
// about: what a calm window had left unused was spent at once, and callers that moved from a stopped node
// were counted again where they came to, for each node's part grew with the requests of its own last window.
// Cause: one request gave leave for repeats in two windows, at one node or at two. Proof: nodes, callers and
// failures on virtual time, where nothing else happens; it failed at once.
// Spread over 0 to 1, another one for each start.
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
  std::vector<absl::Time> repeats;
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
  // Its callers go elsewhere; back, it starts anew.
  void stop(size_t index) {
    nodes[index].is_up = false;
    for (size_t& node : home) {
      while (!nodes[node].is_up) {
        node = (node + 1) % nodes.size();
      }
    }
  }
  void start(size_t index) { nodes[index] = {started(false)}; }

  // A caller asks; its request fails at `failures` servers in a row.
  void ask(size_t caller, int failures) {
    RetryBudget& budget = nodes[home[caller]].budget;
    budget.noteRequest(kService);
    requests.push_back(now);
    while (failures-- > 0 && budget.tryAcquireRetry(kService)) {
      repeats.push_back(now);
    }
  }

  static double within(const std::vector<absl::Time>& times, absl::Time begin, absl::Duration width) {
    const auto first = std::lower_bound(times.begin(), times.end(), begin);
    return static_cast<double>(std::lower_bound(first, times.end(), begin + width) - first);
  }
  // The most repeats beyond what any window allows, whose requests are counted in it, in the one before it,
  // or half a window before it.
  double excess() const {
    double most = 0;
    for (const absl::Time& begin : repeats) {
      const absl::Duration width = kWindow;
      const double asked = std::max({within(requests, begin, width), within(requests, begin - width, width),
                                     within(requests, begin - width / 2, width)});
      most = std::max(most, within(repeats, begin, width) - settings.ratio * asked - settings.constant);
    }
    return most;
  }
};

TEST_CASE("repeats stay within the budget while nodes stop in turn and their callers move") {
  Site site({0.2, 198, 16}, 79, 460);
  constexpr absl::Duration step = absl::Milliseconds(10);
  size_t next_stopped = 0;
  size_t next_started = 0;
  for (int tick = 0; tick < 3000; ++tick) {
    site.now += step;
    const bool fails = tick > 1000;
    for (int request = 0; request < 5; ++request) {
      const size_t caller = static_cast<size_t>(tick * 5 + request) * 7 % site.home.size();
      site.ask(caller, fails && (tick + request) % 10 < 3 ? 1 : 0);
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

TEST_CASE("repeats stay within the budget whatever nodes do and callers ask") {
  CHECK(rc::check([] {
    const RetryBudgetSettings settings{0.2, static_cast<double>(*rc::gen::inRange(54, 700)), 16};
    Site site(settings, *rc::gen::inRange<size_t>(2, 80), *rc::gen::inRange<size_t>(20, 400));
    for (int step = 0; step < 400; ++step) {
      site.now += absl::Milliseconds(*rc::gen::inRange(0, 250));
      const size_t node = *rc::gen::inRange<size_t>(0, site.nodes.size());
      const size_t up = static_cast<size_t>(std::count_if(
          site.nodes.begin(), site.nodes.end(), [](const Site::Node& other) { return other.is_up; }));
      const int what = *rc::gen::inRange(0, 10);
      if (what == 0) {
        site.start(node);
      } else if (what == 1 && up > 1 && site.nodes[node].is_up) {
        site.stop(node);
      } else {
        const int asked = *rc::gen::inRange(1, 60);
        const int failures = *rc::gen::inRange(0, 3);
        for (int request = 0; request < asked; ++request) {
          site.ask(static_cast<size_t>(request * 13 + step) % site.home.size(), failures);
        }
      }
    }
    RC_ASSERT(site.excess() <= 0);
  }));
}

TEST_CASE("in calm times nearly the whole part that grows with requests is to be had") {
  Site site({0.2, 54, 16}, 7, 70);
  for (int tick = 0; tick < 3000; ++tick) {
    site.now += absl::Milliseconds(10);
    site.ask(static_cast<size_t>(tick) % site.home.size(), tick % 2);
  }
  CHECK(static_cast<double>(site.repeats.size()) >= 0.9 * 0.2 * static_cast<double>(site.requests.size()));
}

// Repeats that the node may send at once.
int repeatsAtOnce(RetryBudget budget) {
  int repeats = 0;
  while (budget.tryAcquireRetry(kService)) {
    ++repeats;
  }
  return repeats;
}

TEST_CASE("a node that has just started, or knows of no nodes, has no part of the constant") {
  RetryBudget budget({0.2, 320, 16}, kAnyPhase);
  CHECK(repeatsAtOnce(budget) == 0);
  for (int request = 0; request < 1000; ++request) {
    budget.noteRequest(kService);
  }
  CHECK(repeatsAtOnce(budget) == 0);
  budget.noteNodes(20);
  CHECK(repeatsAtOnce(budget) == 0);
  for (int request = 0; request < 5; ++request) {
    budget.noteRequest(kService);
  }
  CHECK(repeatsAtOnce(budget) == 1);
  for (int request = 0; request < 1000; ++request) {
    budget.noteRequest(kService);
  }
  CHECK(repeatsAtOnce(budget) == 10);
}

// Finding F9: a sixteenth each was a budget five times over at 79 gateways.
TEST_CASE("the constant part is divided by more nodes than are known") {
  RetryBudget budget({0.2, 198, 16}, kAnyPhase);
  budget.noteNodes(79);
  for (int request = 0; request < 1000; ++request) {
    budget.noteRequest(kService);
  }
  CHECK(repeatsAtOnce(budget) == 1);
}

TEST_CASE("where nobody has sent a repeat yet, the first request that fails may be repeated") {
  RetryBudget budget({0.2, 320, 16, true}, kAnyPhase);
  budget.noteNodes(20);
  budget.noteRequest(kService);
  CHECK(repeatsAtOnce(budget) == 10);
}

TEST_CASE("a node that hears of more nodes gives up what its bucket holds too much") {
  RetryBudget budget({0.2, 320, 16}, kAnyPhase);
  budget.noteNodes(10);
  for (int request = 0; request < 1000; ++request) {
    budget.noteRequest(kService);
  }
  CHECK(budget.left(kService) == 20);
  budget.noteNodes(200);
  CHECK(budget.left(kService) == 1);
}

TEST_CASE("a service's repeats are of no concern to another") {
  RetryBudget budget({1, 16, 16}, kAnyPhase);
  budget.noteNodes(1);
  budget.noteRequest(kService);
  budget.noteRequest(ServiceName("other"));
  CHECK(budget.tryAcquireRetry(kService));
  CHECK_FALSE(budget.tryAcquireRetry(kService));
  CHECK(budget.tryAcquireRetry(ServiceName("other")));
  CHECK(budget.minimumLeft() == 0);
}

// Of 300 nodes each has a sixth of a repeat at most.
TEST_CASE("where a node's part is less than one repeat, some nodes still repeat") {
  Site site({0.2, 80, 16}, 300, 300);
  for (int request = 0; request < 6000; ++request) {
    site.now += absl::Milliseconds(5);
    site.ask(static_cast<size_t>(request) % site.home.size(), 1);
  }
  const auto repeats = static_cast<double>(site.repeats.size());
  CHECK(repeats >= 0.75 * 0.2 * 6000);
  CHECK(site.excess() <= 0);
}

}  // namespace
}  // namespace quincewick::forwarding
