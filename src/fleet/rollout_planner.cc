#include "fleet/rollout_planner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace quincewick::fleet {
namespace {

constexpr double kLearningRate = 0.2;

absl::Duration learn(absl::Duration mean, absl::Duration sample) {
  return mean * (1.0 - kLearningRate) + sample * kLearningRate;
}

}  // namespace

RolloutPlanner::RolloutPlanner(RolloutSettings settings, Epoch epoch, const std::vector<BackEndId>& inherited,
                               absl::Time now)
    : settings_(settings), epoch_(epoch), mean_load_(settings.load_time) {
  for (const BackEndId& id : inherited) {
    Work& work = work_[id];
    enter(work, Step::kFencing, now);
    work.may_load_until = now + settings_.load_timeout;
  }
}

void RolloutPlanner::setRecord(const RolloutRecord& record, const BackEndTracker& tracker) {
  if (record.target != record_.target || record.model != record_.model) {
    failed_.clear();
  }
  record_ = record;
  targets_.setRecord(record, tracker);
}

void RolloutPlanner::noteBackEnd(const BackEndId& id, const BackEndTracker& tracker) {
  targets_.note(id, tracker);
}

bool RolloutPlanner::isHeldBack(const BackEndId& id, absl::Time now) const {
  const auto failed = failed_.find(id);
  return work_.contains(id) || (failed != failed_.end() && now < failed->second);
}

// Enough engines that drain or have drained to keep the loads going, however long a drain takes.
uint32_t RolloutPlanner::drainAhead() const {
  constexpr absl::Duration preparation = absl::Milliseconds(100);  // the write of the window, and an order
  const double loads_in_a_drain = absl::FDivDuration(mean_drain_ + preparation, mean_load_);
  const auto ahead = static_cast<uint32_t>(std::ceil(record_.maximum_loads * loads_in_a_drain)) + 1;
  return std::min(ahead, settings_.maximum_draining);
}

uint32_t RolloutPlanner::readyOutsideWindow() const {
  uint32_t ready = targets_.ready();
  for (const auto& [id, work] : work_) {
    ready -= targets_.isReady(id) && work.step != Step::kFinished ? 1 : 0;
  }
  return ready;
}

std::vector<BackEndId> RolloutPlanner::wanted(const BackEndTracker& tracker, absl::Time now) const {
  if (record_.phase == RolloutPhase::kPaused || targets_.remaining() == 0) {
    return {};
  }
  absl::btree_map<ZoneName, uint32_t> out_by_zone;
  uint32_t out = 0;
  for (const auto& [id, work] : work_) {
    const TrackedBackEnd* tracked = tracker.find(id);
    const bool counts = work.step != Step::kFinished && work.step != Step::kResuming && tracked != nullptr;
    out += counts ? 1 : 0;
    out_by_zone[counts ? tracked->back_end.zone : ZoneName()] += counts ? 1 : 0;
  }
  uint32_t ready = readyOutsideWindow();
  const uint32_t floor = targets_.readyFloor();
  const uint32_t most_out = record_.maximum_loads + drainAhead();
  absl::btree_set<BackEndId> picked;
  while (out + picked.size() < most_out) {
    std::optional<BackEndId> next;
    uint32_t fewest_out = 0;
    for (const auto& [zone, engines] : targets_.remainingByZone()) {
      const uint32_t zone_out = out_by_zone[zone];
      if (next && zone_out >= fewest_out) {
        continue;
      }
      if (std::optional<BackEndId> candidate = pickFromZone(engines, picked, tracker, now)) {
        next = std::move(candidate);
        fewest_out = zone_out;
      }
    }
    if (!next) {
      break;
    }
    const bool is_ready = targets_.isReady(*next);
    if (is_ready && needsDrain() && ready <= floor) {
      break;
    }
    ready -= is_ready ? 1 : 0;
    ++out_by_zone[tracker.find(*next)->back_end.zone];
    picked.insert(*std::move(next));
  }
  return {picked.begin(), picked.end()};
}

// The one with the least work among the first few: it drains soonest.
std::optional<BackEndId> RolloutPlanner::pickFromZone(const absl::btree_set<BackEndId>& engines,
                                                      const absl::btree_set<BackEndId>& picked,
                                                      const BackEndTracker& tracker, absl::Time now) const {
  constexpr uint32_t most_compared = 8;
  std::optional<BackEndId> best;
  uint32_t least_in_flight = 0;
  uint32_t compared = 0;
  for (const BackEndId& id : engines) {
    if (picked.contains(id) || isHeldBack(id, now)) {
      continue;
    }
    const uint32_t in_flight = tracker.find(id)->in_flight;
    if (!best || in_flight < least_in_flight) {
      best = id;
      least_in_flight = in_flight;
    }
    if (++compared == most_compared) {
      break;
    }
  }
  return best;
}

void RolloutPlanner::admit(const std::vector<BackEndId>& engines, absl::Time now) {
  for (const BackEndId& id : engines) {
    const auto [entry, is_new] = work_.try_emplace(id);
    if (is_new) {
      enter(entry->second, firstStep(), now);
    }
  }
}

std::vector<BackEndId> RolloutPlanner::window() const {
  std::vector<BackEndId> engines;
  for (const auto& [id, work] : work_) {
    if (work.step != Step::kFinished) {
      engines.push_back(id);
    }
  }
  return engines;
}

void RolloutPlanner::releaseFinished(const std::vector<BackEndId>& stored_window) {
  const absl::btree_set<BackEndId> stored(stored_window.begin(), stored_window.end());
  for (auto entry = work_.begin(); entry != work_.end();) {
    const bool is_released = entry->second.step == Step::kFinished && !stored.contains(entry->first);
    entry = is_released ? work_.erase(entry) : std::next(entry);
  }
}

void RolloutPlanner::advance(const BackEndTracker& tracker, absl::Time now, std::vector<EngineOrder>& orders,
                             std::vector<BackEndId>& queries) {
  for (auto& [id, work] : work_) {
    const TrackedBackEnd* tracked = tracker.find(id);
    if (work.step == Step::kFinished) {
      continue;
    }
    if (tracked == nullptr || !followEngine(work, *tracked, now)) {
      const bool may_load = work.step == Step::kLoading;
      enter(work, Step::kFinished, now);
      work.may_load_until = may_load ? now + settings_.takeover_settle : work.may_load_until;
      continue;
    }
    if (work.step == Step::kLoading && work.acknowledged && record_.kind == RolloutKind::kRole) {
      targets_.noteRoleSet(tracked->back_end, tracker);
    }
    settleStep(id, work, *tracked, now);
  }
  beginLoads(now);
  for (auto& [id, work] : work_) {
    sendIfDue(id, work, now, orders);
    queryIfDue(id, work, now, queries);
  }
}

bool RolloutPlanner::followEngine(Work& work, const TrackedBackEnd& tracked, absl::Time now) {
  if (tracked.leaving) {
    return false;
  }
  const Incarnation incarnation = tracked.back_end.incarnation;
  if (work.incarnation != Incarnation() && incarnation != work.incarnation) {
    // A new process does not drain, and lost its load; but it may have taken a load order sent to the old
    // one.
    const bool may_load = work.step == Step::kLoading || now < work.may_load_until;
    enter(work, may_load ? Step::kFencing : firstStep(), now);
    work.may_load_until = may_load ? now + settings_.load_timeout : absl::InfinitePast();
  }
  work.incarnation = incarnation;
  return true;
}

void RolloutPlanner::settleStep(const BackEndId& id, Work& work, const TrackedBackEnd& tracked,
                                absl::Time now) {
  const bool is_paused = record_.phase == RolloutPhase::kPaused;
  switch (work.step) {
    case Step::kFencing:
      settleFencing(work, tracked, now);
      return;
    case Step::kDraining:
      if (is_paused || targets_.isAtTarget(tracked.back_end)) {
        enter(work, Step::kResuming, now);
      } else {
        settleDraining(work, tracked, now);
      }
      return;
    case Step::kDrained:
      if (is_paused || targets_.isAtTarget(tracked.back_end)) {
        enter(work, Step::kResuming, now);
      }
      return;
    case Step::kLoading:
      settleLoading(id, work, tracked, now);
      return;
    case Step::kResuming:
      if (work.acknowledged && tracked.accepting && tracked.heard > work.acknowledged_at &&
          now >= work.may_load_until) {
        enter(work, Step::kFinished, now);
      }
      return;
    case Step::kFinished:
      return;
  }
}

void RolloutPlanner::settleFencing(Work& work, const TrackedBackEnd& tracked, absl::Time now) {
  const bool is_fresh = work.acknowledged && tracked.heard > work.acknowledged_at;
  if (is_fresh && targets_.isAtTarget(tracked.back_end)) {
    work.may_load_until = absl::InfinitePast();
    enter(work, Step::kResuming, now);
  } else if (work.acknowledged && now >= work.may_load_until) {
    enter(work, firstStep(), now);
  }
}

void RolloutPlanner::settleDraining(Work& work, const TrackedBackEnd& tracked, absl::Time now) {
  const bool is_fresh = work.acknowledged && tracked.heard > work.acknowledged_at + settings_.report_lag;
  const bool is_empty = is_fresh && tracked.in_flight == 0;
  if (is_empty) {
    mean_drain_ = learn(mean_drain_, now - work.entered);
  }
  if (is_empty || (work.acknowledged && now - work.entered > settings_.drain_limit)) {
    enter(work, Step::kDrained, now);
  }
}

void RolloutPlanner::settleLoading(const BackEndId& id, Work& work, const TrackedBackEnd& tracked,
                                   absl::Time now) {
  const bool is_done = record_.kind == RolloutKind::kWeights
                           ? holdsVersion(tracked.back_end, record_.model, work.loading)
                           : record_.kind == RolloutKind::kRole || targets_.isAtTarget(tracked.back_end);
  if (work.acknowledged && is_done) {
    finishLoad(work, tracked, now);
  } else if (now - work.entered > settings_.load_timeout) {
    takeFailedLoad(id, work, now);
  }
}

void RolloutPlanner::finishLoad(Work& work, const TrackedBackEnd& tracked, absl::Time now) {
  mean_load_ = learn(mean_load_, now - work.acknowledged_at);
  work.attempts = 0;
  work.may_load_until = absl::InfinitePast();
  if (!needsDrain()) {
    enter(work, Step::kFinished, now);
  } else {
    // A roll-back may have begun meanwhile.
    enter(work, targets_.isAtTarget(tracked.back_end) ? Step::kResuming : Step::kDrained, now);
  }
}

void RolloutPlanner::takeFailedLoad(const BackEndId& id, Work& work, absl::Time now) {
  ++work.attempts;
  const bool is_given_up = work.attempts >= settings_.maximum_load_attempts;
  if (is_given_up) {
    failed_[id] = now + settings_.failed_engine_pause;
  }
  enter(work, is_given_up ? Step::kResuming : Step::kFencing, now);
  work.may_load_until = now + settings_.takeover_settle;
}

uint32_t RolloutPlanner::loadsInProgress(absl::Time now) const {
  uint32_t loads = 0;
  for (const auto& [id, work] : work_) {
    loads += work.step == Step::kLoading || now < work.may_load_until ? 1 : 0;
  }
  return loads;
}

void RolloutPlanner::beginLoads(absl::Time now) {
  uint32_t loads = loadsInProgress(now);
  while (loads < record_.maximum_loads) {
    Work* first = nullptr;
    for (auto& [id, work] : work_) {
      const bool is_earlier = first == nullptr || work.entered < first->entered;
      if (work.step == Step::kDrained && is_earlier && record_.phase != RolloutPhase::kPaused) {
        first = &work;
      }
    }
    if (first == nullptr) {
      return;
    }
    first->loading = record_.target;
    enter(*first, Step::kLoading, now);
    ++loads;
  }
}

void RolloutPlanner::enter(Work& work, Step step, absl::Time now) {
  work.step = step;
  work.entered = now;
  work.outstanding.reset();
  work.acknowledged = false;
  work.acknowledged_at = absl::InfinitePast();
  work.next_send = now;
  work.next_query = step == Step::kDrained ? now : absl::InfiniteFuture();
}

Order RolloutPlanner::makeOrder(Step step) {
  Order order;
  order.epoch = epoch_;
  order.sequence = Sequence(++sequence_);
  order.model = record_.model;
  switch (step) {
    case Step::kFencing:
    case Step::kDraining:
      order.kind = needsDrain() ? OrderKind::kDrain : OrderKind::kResume;
      break;
    case Step::kLoading:
      order.weights_version = record_.target;
      order.adapter = record_.adapter;
      order.role = record_.role;
      order.kind = record_.kind == RolloutKind::kWeights   ? OrderKind::kLoadWeights
                   : record_.kind == RolloutKind::kAdapter ? OrderKind::kLoadAdapter
                                                           : OrderKind::kSetRole;
      break;
    case Step::kDrained:
    case Step::kResuming:
    case Step::kFinished:
      order.kind = OrderKind::kResume;
      break;
  }
  return order;
}

void RolloutPlanner::sendIfDue(const BackEndId& id, Work& work, absl::Time now,
                               std::vector<EngineOrder>& orders) {
  const bool has_order = work.step != Step::kDrained && work.step != Step::kFinished;
  if (!has_order || work.acknowledged || now < work.next_send) {
    return;
  }
  if (!work.outstanding) {
    work.outstanding = makeOrder(work.step);
    if (work.step == Step::kLoading) {
      work.loading = work.outstanding->weights_version;
    }
  }
  work.next_send = now + settings_.order_retry;
  orders.push_back(EngineOrder{id, *work.outstanding});
}

void RolloutPlanner::queryIfDue(const BackEndId& id, Work& work, absl::Time now,
                                std::vector<BackEndId>& queries) const {
  // One that waits for its turn is watched too: after a restart it would not be drained any more.
  const bool is_waiting = work.step == Step::kDrained;
  if ((!work.acknowledged && !is_waiting) || now < work.next_query) {
    return;
  }
  const bool is_slow = is_waiting || work.step == Step::kDraining || work.step == Step::kFencing;
  const absl::Duration slow_interval =
      std::min(settings_.drain_query_interval, std::max(settings_.load_query_interval, mean_drain_ / 8));
  work.next_query = now + (is_slow ? slow_interval : settings_.load_query_interval);
  queries.push_back(id);
}

void RolloutPlanner::takeOrderOutcome(const BackEndId& engine, const Order& order, OrderOutcome outcome,
                                      absl::Time now) {
  const auto entry = work_.find(engine);
  if (entry == work_.end() || !entry->second.outstanding ||
      entry->second.outstanding->sequence != order.sequence) {
    return;
  }
  Work& work = entry->second;
  switch (outcome) {
    case OrderOutcome::kTaken:
      takeAcknowledgement(work, now);
      return;
    case OrderOutcome::kFenced:
      work.outstanding.reset();
      work.next_send = now + settings_.order_retry;
      return;
    case OrderOutcome::kInvalid:
      if (work.step == Step::kLoading) {
        takeFailedLoad(engine, work, now);
      } else {
        work.outstanding.reset();
        work.next_send = now + settings_.order_retry;
      }
      return;
    case OrderOutcome::kLost:
      return;  // sent again unchanged at next_send
  }
}

void RolloutPlanner::takeAcknowledgement(Work& work, absl::Time now) {
  work.outstanding.reset();
  work.acknowledged = true;
  work.acknowledged_at = now;
  work.next_query = now;
  if (work.step == Step::kLoading) {
    work.next_query = now + mean_load_ - settings_.load_query_interval;
  } else if (work.step == Step::kDraining) {
    work.next_query = now + settings_.report_lag;
  } else if (work.step == Step::kFencing) {
    work.may_load_until = std::min(work.may_load_until, now + settings_.takeover_settle);
  }
}

bool RolloutPlanner::isComplete() const {
  const bool is_idle = std::all_of(work_.begin(), work_.end(),
                                   [](const auto& entry) { return entry.second.step == Step::kFinished; });
  return is_idle && targets_.remaining() == 0 && targets_.capacity() > 0;
}

std::optional<std::string> RolloutPlanner::failure() const {
  if (failed_.size() <= settings_.maximum_failed_engines) {
    return std::nullopt;
  }
  return absl::StrCat("loads failed on ", failed_.size(), " engines, first ", failed_.begin()->first.value());
}

RolloutProgress RolloutPlanner::progress() const {
  RolloutProgress progress{targets_.capacity(), targets_.ready(), targets_.remaining(), 0, 0};
  for (const auto& [id, work] : work_) {
    progress.out += work.step != Step::kFinished ? 1 : 0;
    progress.loading += work.step == Step::kLoading ? 1 : 0;
  }
  return progress;
}

absl::Time RolloutPlanner::nextWakeup(absl::Time now) const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [id, work] : work_) {
    if (work.step == Step::kFinished) {
      continue;
    }
    const bool has_order = work.step != Step::kDrained;
    next = std::min(next, !work.acknowledged && has_order ? work.next_send : work.next_query);
    if (work.may_load_until > now) {
      next = std::min(next, work.may_load_until);
    }
  }
  return next;
}

}  // namespace quincewick::fleet
