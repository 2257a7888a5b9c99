#include "forwarding/rollout_planner.h"

#include <algorithm>
#include <tuple>

namespace quincewick::forwarding {
namespace {

constexpr double kSmoothing = 0.3;
constexpr double kShareForLoads = 0.75;  // of the bound; the rest is for what goes wrong
constexpr absl::Duration kShortestLoad = absl::Milliseconds(300);
constexpr absl::Duration kLongestLoad = absl::Seconds(4);

// Loads at once: as many as go at full speed, or the fewest that bring all engines there within their share
// of the bound.
uint32_t loadsAtOnce(size_t engines, absl::Duration within, absl::Duration load_time,
                     const RolloutSettings& settings) {
  const auto time_for = [&](uint32_t loads) {
    const size_t rounds = (engines + loads - 1) / loads;
    return (settings.emptying + load_time) * static_cast<double>(rounds);
  };
  const auto at_full_speed = static_cast<uint32_t>(settings.share_at_once * static_cast<double>(engines));
  uint32_t at_once = std::max(settings.fewest_at_once, at_full_speed);
  while (at_once < settings.most_at_once && time_for(at_once) > within * kShareForLoads) {
    ++at_once;
  }
  return at_once;
}

bool isEmptied(const RolloutEngine& engine, absl::Duration emptying, absl::Duration shortest_emptying,
               absl::Time now) {
  if (emptying == absl::ZeroDuration()) {
    return true;
  }
  const absl::Duration reserved = now - engine.reserved_since;
  return reserved >= emptying || (engine.running == 0 && reserved >= shortest_emptying);
}

}  // namespace

void LoadTime::note(absl::Duration taken) {
  expected_ += kSmoothing * (std::clamp(taken, kShortestLoad, kLongestLoad) - expected_);
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
  // The last engine of each deadline must be done by it: the latest start is the least over all prefixes, and
  // so is the time that each round has for emptying.
  absl::Time latest_start = absl::InfiniteFuture();
  absl::Duration emptying = settings.emptying;
  for (size_t index = 0; index < pending.size(); ++index) {
    const size_t whole_rounds = (index + at_once) / at_once;
    const auto rounds = static_cast<double>(whole_rounds);
    const absl::Time done = weights.deadlineOf(model, pending[index].version) - settings.margin;
    latest_start = std::min(latest_start, done - (settings.emptying + load_time) * rounds);
    emptying = std::min(emptying, (done - now) / rounds - load_time);
  }
  emptying = std::max(emptying, absl::ZeroDuration());
  latest_start = std::min(latest_start, weights.namedAt(model, newest) + settings.patience);
  plan.next_start = latest_start;
  plan.is_due = now >= latest_start;
  if (!plan.is_due) {
    return plan;
  }
  const size_t free = at_once > loading ? at_once - loading : 0;
  for (size_t index = 0; index < std::min(pending.size(), free); ++index) {
    if (isEmptied(pending[index], emptying, settings.shortest_emptying, now)) {
      plan.order.push_back(pending[index].id);
    } else {
      plan.reserve.push_back(pending[index].id);
    }
  }
  return plan;
}

}  // namespace quincewick::forwarding
