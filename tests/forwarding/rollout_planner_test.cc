#include "forwarding/rollout_planner.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace quincewick::forwarding {
namespace {

const ModelName kModel("m");
constexpr absl::Duration kBound = absl::Seconds(8);

std::vector<RolloutEngine> engines(size_t count) {
  std::vector<RolloutEngine> result;
  for (size_t index = 0; index < count; ++index) {
    RolloutEngine engine;
    engine.id = "e" + std::to_string(index);
    engine.version = WeightsVersion(1);
    result.push_back(engine);
  }
  return result;
}

size_t indexOf(const std::string& id) {
  return static_cast<size_t>(std::stoi(id.substr(1)));
}

struct Outcome {
  uint32_t loads = 0;
  uint32_t max_concurrent_loads = 0;
  absl::Duration least_excess_drain = absl::InfiniteDuration();  // drain time beyond the required one
  uint32_t late = 0;  // engines without a version at its deadline, over all versions
};

// How long an engine that was reserved at `reserved` must drain: the minimum, or the time that its round has
// before a bound with the maximum number of concurrent loads, if that is less.
absl::Duration requiredDrainTime(const std::vector<RolloutEngine>& fleet, const WeightsRegister& weights,
                                 absl::Duration load_time, absl::Time reserved) {
  const RolloutSettings settings;
  const size_t at_once = std::max<size_t>(settings.max_concurrent_loads, fleet.size() / 5);
  absl::Duration required = settings.min_drain_time;
  for (WeightsVersion version(1); version < weights.newest(kModel);
       version = WeightsVersion(version.value() + 1)) {
    const auto due = std::count_if(fleet.begin(), fleet.end(), [version](const RolloutEngine& engine) {
      return !engine.is_loading && !(version < engine.version);
    });
    if (due > 0) {
      const size_t rounds = (static_cast<size_t>(due) + at_once - 1) / at_once;
      const absl::Duration left = weights.deadlineOf(kModel, version) - settings.margin - reserved;
      required = std::min(required, left / static_cast<double>(rounds) - load_time);
    }
  }
  return required;
}

// Simulates 40 s of loads that take `load_time` each, with versions named at the given times.
Outcome simulate(size_t count, absl::Duration load_time, const std::vector<absl::Duration>& named,
                 const RolloutSettings& settings = RolloutSettings()) {
  const absl::Time start = absl::UnixEpoch();
  WeightsRegister weights(kBound);
  auto fleet = engines(count);
  std::vector<std::pair<absl::Time, WeightsVersion>> done(count, {absl::InfiniteFuture(), WeightsVersion()});
  Outcome outcome;
  size_t next = 0;
  for (absl::Time now = start; now < start + absl::Seconds(40); now += absl::Milliseconds(50)) {
    if (next < named.size() && now >= start + named[next]) {
      weights.note({kModel, WeightsVersion(next + 2)}, now);
      ++next;
    }
    uint32_t loading = 0;
    for (size_t index = 0; index < count; ++index) {
      if (fleet[index].is_loading && now >= done[index].first) {
        fleet[index].is_loading = false;
        fleet[index].version = done[index].second;
      }
      loading += fleet[index].is_loading ? 1 : 0;
    }
    const RolloutPlan plan = planRollout(fleet, kModel, weights, kBound, load_time, settings, now);
    for (const std::string& id : plan.reserve) {
      RolloutEngine& engine = fleet[indexOf(id)];
      engine.reserved_since = std::min(engine.reserved_since, now);
    }
    for (const std::string& id : plan.order) {
      const absl::Time reserved = std::min(fleet[indexOf(id)].reserved_since, now);
      const absl::Duration required = requiredDrainTime(fleet, weights, load_time, reserved);
      outcome.least_excess_drain = std::min(outcome.least_excess_drain, now - reserved - required);
    }
    for (const std::string& id : plan.order) {
      const size_t index = indexOf(id);
      fleet[index].is_loading = true;
      fleet[index].reserved_since = absl::InfiniteFuture();
      done[index] = {now + load_time, weights.newest(kModel)};
      ++outcome.loads;
      ++loading;
    }
    outcome.max_concurrent_loads = std::max(outcome.max_concurrent_loads, loading);
    for (size_t version = 0; version < named.size(); ++version) {
      const bool is_due = now == start + named[version] + kBound;
      for (const RolloutEngine& engine : fleet) {
        outcome.late += is_due && engine.version < WeightsVersion(version + 2) ? 1 : 0;
      }
    }
  }
  return outcome;
}

TEST_CASE("every version is in force within its bound, a few loads at a time") {
  CHECK(rc::check([] {
    const size_t count = *rc::gen::inRange<size_t>(1, 141);
    const absl::Duration load_time = absl::Milliseconds(*rc::gen::inRange(4, 18) * 50);
    std::vector<absl::Duration> named;
    absl::Duration at = absl::ZeroDuration();
    for (int version = 0; version < *rc::gen::inRange(1, 5); ++version) {
      at += absl::Milliseconds(*rc::gen::inRange(1, 120) * 50);
      named.push_back(at);
    }
    const Outcome outcome = simulate(count, load_time, named);
    RC_ASSERT(outcome.late == 0);
    RC_ASSERT(outcome.least_excess_drain >= absl::ZeroDuration());
    RC_ASSERT(outcome.max_concurrent_loads <=
              std::max<size_t>(RolloutSettings().max_concurrent_loads, count / 5));
  }));
}

TEST_CASE("versions named while loads are delayed need no load of their own") {
  const auto named = {absl::Seconds(2), absl::Milliseconds(5200), absl::Milliseconds(8400),
                      absl::Milliseconds(11600)};
  RolloutSettings settings;
  settings.start_delay = absl::InfiniteDuration();
  const Outcome outcome = simulate(12, absl::Milliseconds(900), named, settings);
  CHECK(outcome.late == 0);
  CHECK(outcome.loads <= 30);  // 48 with a load for each version
  CHECK(outcome.loads >= 12);
}

// Guards against engines that miss the bound: four concurrent loads, begun as late as allowed, left 14 of 90
// engines behind.
TEST_CASE("a large fleet loads a fifth of its engines at once, as soon as a version is named") {
  WeightsRegister weights(kBound);
  const absl::Time now = absl::UnixEpoch();
  weights.note({kModel, WeightsVersion(2)}, now);
  const auto plan = planRollout(engines(90), kModel, weights, kBound, absl::Seconds(1), {}, now);
  CHECK(plan.is_due);
  const Outcome outcome = simulate(90, absl::Seconds(1), {absl::Seconds(2)});
  CHECK(outcome.max_concurrent_loads == 18);
  CHECK(outcome.late == 0);
}

// Guards against loads that block running streams: without draining, 30% of the short requests paused for too
// long.
TEST_CASE("an engine is reserved and drained before its order") {
  WeightsRegister weights(kBound);
  const absl::Time named = absl::UnixEpoch();
  weights.note({kModel, WeightsVersion(2)}, named);
  auto fleet = engines(12);
  for (RolloutEngine& engine : fleet) {
    engine.running = 3;
  }
  const auto first = planRollout(fleet, kModel, weights, kBound, absl::Milliseconds(500), {}, named);
  CHECK(first.order.empty());
  REQUIRE(first.reserve.size() == 2);
  for (RolloutEngine& engine : fleet) {
    engine.reserved_since =
        engine.id == first.reserve[0] || engine.id == first.reserve[1] ? named : absl::InfiniteFuture();
  }
  const absl::Time soon = named + absl::Milliseconds(250);
  CHECK(planRollout(fleet, kModel, weights, kBound, absl::Milliseconds(500), {}, soon).order.empty());
  const absl::Time drained = named + RolloutSettings().max_drain_time;
  CHECK(planRollout(fleet, kModel, weights, kBound, absl::Milliseconds(500), {}, drained).order.size() == 2);
  for (RolloutEngine& engine : fleet) {
    engine.running = 0;
  }
  CHECK(planRollout(fleet, kModel, weights, kBound, absl::Milliseconds(500), {}, soon).order.size() == 2);
}

TEST_CASE("no order is sent if every engine has the newest version, or none was named") {
  WeightsRegister weights(kBound);
  const absl::Time now = absl::UnixEpoch();
  CHECK(planRollout(engines(3), kModel, weights, kBound, absl::Seconds(1), {}, now).order.empty());
  weights.note({kModel, WeightsVersion(1)}, now);
  const auto plan = planRollout(engines(3), kModel, weights, kBound, absl::Seconds(1), {}, now + kBound);
  CHECK(plan.order.empty());
  CHECK(plan.reserve.empty());
}

// Guards against lost capacity: with the next round draining during a load, up to four of nine engines served
// nothing.
TEST_CASE("no more engines are taken out of service than may load at once") {
  WeightsRegister weights(kBound);
  const absl::Time named = absl::UnixEpoch();
  weights.note({kModel, WeightsVersion(2)}, named);
  auto fleet = engines(12);
  const auto taken_out = [&](absl::Time now) {
    const auto plan = planRollout(fleet, kModel, weights, kBound, absl::Milliseconds(500), {}, now);
    return plan.order.size() + plan.reserve.size();
  };
  CHECK(taken_out(named) == 2);
  fleet[0].is_loading = true;
  CHECK(taken_out(named) == 1);
  fleet[1].is_loading = true;
  CHECK(taken_out(named) == 0);
}

// Guards against draining engines that no request may use anyway because their version is too old, as after a
// store outage.
TEST_CASE("engines that are behind their bound are not drained") {
  WeightsRegister weights(kBound);
  const absl::Time named = absl::UnixEpoch();
  weights.note({kModel, WeightsVersion(2)}, named);
  auto fleet = engines(90);
  for (RolloutEngine& engine : fleet) {
    engine.running = 3;
  }
  const auto planned = [&](absl::Time now) {
    return planRollout(fleet, kModel, weights, kBound, absl::Milliseconds(700), {}, now);
  };
  CHECK(planned(named).order.empty());
  CHECK(planned(named).reserve.size() == 18);
  const auto late = planned(named + kBound - absl::Seconds(1));
  CHECK(late.order.size() == 18);
  CHECK(late.reserve.empty());
}

TEST_CASE("draining takes the time that the remaining loads leave") {
  WeightsRegister weights(kBound);
  const absl::Time named = absl::UnixEpoch();
  weights.note({kModel, WeightsVersion(2)}, named);
  // Five rounds of a 700 ms load and 100 ms for draining each, until the bound minus its margin.
  const absl::Time reserved =
      weights.deadlineOf(kModel, WeightsVersion(1)) - RolloutSettings().margin - 5 * absl::Milliseconds(800);
  auto fleet = engines(90);
  for (RolloutEngine& engine : fleet) {
    engine.running = 3;
    engine.reserved_since = reserved;
  }
  const auto orders_after = [&](absl::Duration drained) {
    const absl::Time now = reserved + drained;
    return planRollout(fleet, kModel, weights, kBound, absl::Milliseconds(700), {}, now).order.size();
  };
  CHECK(orders_after(absl::Milliseconds(99)) == 0);
  CHECK(orders_after(absl::Milliseconds(100)) == 18);
}

// Guards against counting the past drain time of a round as still needed, which halved the time of the last
// round.
TEST_CASE("the last engine drains for the time that its load leaves before the bound") {
  WeightsRegister weights(kBound);
  weights.note({kModel, WeightsVersion(2)}, absl::UnixEpoch());
  const absl::Duration load_time = absl::Milliseconds(750);
  const absl::Time done = weights.deadlineOf(kModel, WeightsVersion(1)) - RolloutSettings().margin;
  auto fleet = engines(1);
  fleet[0].reserved_since = done - load_time - absl::Milliseconds(300);
  const auto is_ordered_after = [&](absl::Duration drained) {
    const absl::Time now = fleet[0].reserved_since + drained;
    return planRollout(fleet, kModel, weights, kBound, load_time, {}, now).order.size() == 1;
  };
  CHECK_FALSE(is_ordered_after(absl::Milliseconds(199)));
  CHECK(is_ordered_after(RolloutSettings().min_drain_time));
  fleet[0].running = 3;
  CHECK_FALSE(is_ordered_after(absl::Milliseconds(299)));
  CHECK(is_ordered_after(absl::Milliseconds(300)));
}

}  // namespace
}  // namespace quincewick::forwarding
