#include "forwarding/rollout_planner.h"

#include <algorithm>
#include <tuple>

namespace quincewick::forwarding {
namespace {

constexpr double kSmoothing = 0.3;
constexpr double kLoadShareOfBound = 0.75;  // of the bound; the rest is a reserve for faults
constexpr absl::Duration kMinLoadTime = absl::Milliseconds(300);
constexpr absl::Duration kMaxLoadTime = absl::Seconds(4);

// The number of concurrent loads: as many as run at full speed, or more if needed to finish all engines
// within kLoadShareOfBound of `within`.
uint32_t loadsAtOnce(size_t engines, absl::Duration within, absl::Duration load_time,
                     const RolloutSettings& settings) {
  const auto time_for = [&](uint32_t loads) {
    const size_t rounds = (engines + loads - 1) / loads;
    return (settings.max_drain_time + load_time) * static_cast<double>(rounds);
  };
  const auto at_full_speed =
      static_cast<uint32_t>(settings.concurrent_load_share * static_cast<double>(engines));
  uint32_t at_once = std::max(settings.min_concurrent_loads, at_full_speed);
  while (at_once < settings.max_concurrent_loads && time_for(at_once) > within * kLoadShareOfBound) {
    ++at_once;
  }
  return at_once;
}

// The number of rounds of loads that must be done by a deadline.
struct DueRounds {
  absl::Time deadline;
  double rounds = 0;
};

// Ordered by deadline; the rounds of a deadline include those of all earlier deadlines.
std::vector<DueRounds> dueRounds(const std::vector<RolloutEngine>& pending, const ModelName& model,
                                 const WeightsRegister& weights, uint32_t at_once, absl::Duration margin) {
  std::vector<DueRounds> due;
  for (size_t index = 0; index < pending.size(); ++index) {
    const absl::Time deadline = weights.deadlineOf(model, pending[index].version) - margin;
    if (due.empty() || due.back().deadline != deadline) {
      due.push_back({deadline, 0});
    }
    const size_t rounds = (index + at_once) / at_once;
    due.back().rounds = static_cast<double>(rounds);
  }
  return due;
}

// The time that each round has for draining if the first round began to drain at `began`.
absl::Duration drainTimePerRound(const std::vector<DueRounds>& due, absl::Time began,
                                 absl::Duration load_time, absl::Duration longest) {
  absl::Duration drain_time = longest;
  for (const DueRounds& loads : due) {
    drain_time = std::min(drain_time, (loads.deadline - began) / loads.rounds - load_time);
  }
  return drain_time;
}

bool isDrained(const RolloutEngine& engine, const std::vector<DueRounds>& due, absl::Duration load_time,
               const RolloutSettings& settings, absl::Time now) {
  const absl::Time began = std::min(engine.reserved_since, now);
  const absl::Duration drained = now - began;
  return drained >= drainTimePerRound(due, began, load_time, settings.max_drain_time) ||
         (engine.running == 0 && drained >= settings.min_drain_time);
}

}  // namespace

void LoadTime::note(absl::Duration taken) {
  expected_ += kSmoothing * (std::clamp(taken, kMinLoadTime, kMaxLoadTime) - expected_);
}

RolloutPlan planRollout(const std::vector<RolloutEngine>& engines, const ModelName& model,
                        const WeightsRegister& weights, absl::Duration all_within, absl::Duration load_time,
                        const RolloutSettings& settings, absl::Time now) {
  const WeightsVersion newest = weights.newest(model);
  std::vector<RolloutEngine> pending;
  uint32_t loading = 0;
  for (const RolloutEngine& engine : engines) {
    if (engine.is_loading) {
      ++loading;
    } else if (engine.version < newest && engine.is_reachable) {
      pending.push_back(engine);
    }
  }
  RolloutPlan plan;
  if (pending.empty()) {
    return plan;
  }
  std::sort(pending.begin(), pending.end(), [&](const RolloutEngine& left, const RolloutEngine& right) {
    return std::tuple(weights.deadlineOf(model, left.version), left.reserved_since, left.running) <
           std::tuple(weights.deadlineOf(model, right.version), right.reserved_since, right.running);
  });
  const uint32_t at_once = loadsAtOnce(engines.size(), all_within, load_time, settings);
  const std::vector<DueRounds> due = dueRounds(pending, model, weights, at_once, settings.margin);
  absl::Time latest_start = absl::InfiniteFuture();
  for (const DueRounds& loads : due) {
    latest_start =
        std::min(latest_start, loads.deadline - (settings.max_drain_time + load_time) * loads.rounds);
  }
  latest_start = std::min(latest_start, weights.namedAt(model, newest) + settings.start_delay);
  plan.next_start = latest_start;
  plan.is_due = now >= latest_start;
  if (!plan.is_due) {
    return plan;
  }
  const size_t free = at_once > loading ? at_once - loading : 0;
  for (size_t index = 0; index < std::min(pending.size(), free); ++index) {
    if (isDrained(pending[index], due, load_time, settings, now)) {
      plan.order.push_back(pending[index].id);
    } else {
      plan.reserve.push_back(pending[index].id);
    }
  }
  return plan;
}

}  // namespace quincewick::forwarding
