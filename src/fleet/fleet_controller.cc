#include "fleet/fleet_controller.h"

#include <absl/random/distributions.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace quincewick::fleet {
namespace {

constexpr std::string_view kLeaderRankingKey = "fleet-leader";
constexpr absl::Duration kExpiryInterval = absl::Seconds(1);
// The window is rewritten without finished engines at least this often.
constexpr absl::Duration kWindowTidyInterval = absl::Seconds(1);

}  // namespace

struct FleetController::Tenure {
  Tenure(const RolloutSettings& settings, const WindowRecord& window, uint64_t window_version, absl::Time now)
      : epoch(window.epoch),
        begun(now),
        planner(settings, window.epoch, window.engines, now),
        window_store(window, window_version),
        tidied(now) {}

  Epoch epoch;
  absl::Time begun;
  RolloutPlanner planner;
  WindowStore window_store;
  absl::Time tidied;
  std::optional<RolloutPhase> commanded_in;  // the phase in which a command was last given
};

FleetController::FleetController(FleetSettings settings)
    : settings_(std::move(settings)),
      tracker_(settings_.tracker),
      lease_(settings_.lease, settings_.self, settings_.incarnation),
      rollout_(settings_.record_interval) {}

FleetController::~FleetController() = default;

std::vector<FleetAction> FleetController::handle(const FleetEvent& event, absl::Time now,
                                                 absl::BitGenRef random) {
  std::visit([&](const auto& specific) { on(specific, now); }, event);
  giveUpLateCalls(now);
  probeOwned(now, random);
  expireSilent(now);
  lead(now);
  return std::exchange(actions_, {});
}

void FleetController::on(const FleetTick& /*event*/, absl::Time /*now*/) {}

void FleetController::on(const MachineList& event, absl::Time now) {
  const std::vector<BackEndId> changed = tracker_.takeList(event, now);
  tellChanges(changed, false);
  for (const BackEndId& id : changed) {
    assignOwner(id, now);
  }
}

void FleetController::on(const MembersChanged& event, absl::Time now) {
  members_ = event.members;
  const std::vector<NodeId> candidates =
      rankMembers(members_, std::string(kLeaderRankingKey), settings_.candidates);
  is_candidate_ = std::find(candidates.begin(), candidates.end(), settings_.self) != candidates.end();
  lease_.setCandidate(is_candidate_);
  for (const auto& [id, tracked] : tracker_.all()) {
    assignOwner(id, now);
  }
}

void FleetController::on(const BackEndAnswered& event, absl::Time now) {
  if (event.answer) {
    tellChanges(tracker_.takeAnswer(event.id, *event.answer, now), true);
  }
}

void FleetController::on(const BackEndPublished& event, absl::Time now) {
  const BackEndId& id = event.status.id;
  if (is_candidate_ && tracker_.isOutdated(event.status)) {
    // An owner that has just started counts its revisions anew, and would not be heard: it learns the last
    // one.
    actions_.emplace_back(PublishStatus{*tracker_.status(id)});
    return;
  }
  tellChanges(tracker_.takeStatus(event.status, now), false);
}

void FleetController::on(const OrderAnswered& event, absl::Time now) {
  if (!tenure_ || event.order.epoch != tenure_->epoch) {
    return;
  }
  tenure_->planner.takeOrderOutcome(event.engine, event.order, event.outcome, now);
}

void FleetController::on(const VersionHealth& event, absl::Time /*now*/) {
  if (event.model != health_model_ || event.version != health_version_) {
    return;
  }
  Reported& reported = health_[event.reporter];
  if (event.incarnation < reported.incarnation ||
      (event.incarnation == reported.incarnation && event.requests < reported.requests)) {
    return;
  }
  reported = Reported{event.incarnation, event.requests, event.errors};
}

void FleetController::on(const OperatorCommand& event, absl::Time /*now*/) {
  const Result<void> taken = rollout_.enqueue(event.operation, event.command);
  if (taken.has_error()) {
    actions_.emplace_back(CommandAnswered{event.operation, taken.error()});
  }
}

void FleetController::on(const PlatformReply& event, absl::Time now) {
  for (const auto& [purpose, open] : calls_) {
    if (open.id == event.id) {
      const CallPurpose answered = purpose;
      calls_.erase(answered);
      takeResult(answered, event.result, now);
      return;
    }
  }
}

void FleetController::takeResult(CallPurpose purpose, const std::optional<PlatformResult>& result,
                                 absl::Time now) {
  switch (purpose) {
    case CallPurpose::kLease:
      lease_.takeResult(result, now);
      return;
    case CallPurpose::kWindow:
      if (tenure_) {
        tenure_->window_store.takeResult(result, now);
      }
      return;
    case CallPurpose::kRollout:
      for (CommandAnswered& answered : rollout_.takeResult(result, now)) {
        actions_.emplace_back(std::move(answered));
      }
      return;
  }
}

void FleetController::giveUpLateCalls(absl::Time now) {
  std::vector<CallPurpose> late;
  for (const auto& [purpose, open] : calls_) {
    if (now - open.sent > settings_.lease.call_timeout) {
      late.push_back(purpose);
    }
  }
  for (const CallPurpose purpose : late) {
    calls_.erase(purpose);
    takeResult(purpose, std::nullopt, now);
  }
}

void FleetController::call(CallPurpose purpose, PlatformRequest request, absl::Time now) {
  const PlatformCallId id(++last_call_);
  calls_[purpose] = OpenCall{id, now};
  actions_.emplace_back(PlatformCall{id, std::move(request)});
}

void FleetController::tellChanges(const std::vector<BackEndId>& changed, bool publish) {
  for (const BackEndId& id : changed) {
    if (tenure_) {
      tenure_->planner.noteBackEnd(id, tracker_);
    }
    const TrackedBackEnd* tracked = tracker_.find(id);
    if (tracked == nullptr) {
      next_probe_.erase(id);
      actions_.emplace_back(BackEndForgotten{id});
      continue;
    }
    actions_.emplace_back(BackEndChanged{tracked->back_end});
    if (publish) {
      tracker_.raiseRevision(id);
      actions_.emplace_back(PublishStatus{*tracker_.status(id)});
    }
  }
}

void FleetController::assignOwner(const BackEndId& id, absl::Time now) {
  const TrackedBackEnd* tracked = tracker_.find(id);
  const bool is_owner = tracked != nullptr && ownerOf(members_, id, tracked->back_end.zone) == settings_.self;
  if (is_owner) {
    next_probe_.try_emplace(id, now);
  } else {
    next_probe_.erase(id);
  }
}

void FleetController::probeOwned(absl::Time now, absl::BitGenRef random) {
  for (auto& [id, due] : next_probe_) {
    if (now < due) {
      continue;
    }
    // Spread, so that the owners' probes do not come in step.
    due = now + settings_.probe_interval * absl::Uniform(random, 0.9, 1.1);
    const BackEnd& back_end = tracker_.find(id)->back_end;
    actions_.emplace_back(QueryBackEnd{id, back_end.kind, back_end.address});
  }
  refreshOne(now);
}

void FleetController::expireSilent(absl::Time now) {
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kExpiryInterval;
  absl::btree_set<BackEndId> owned;
  for (const auto& [id, due] : next_probe_) {
    owned.insert(id);
  }
  // Others are repeated once in a round of their owner's refreshes.
  constexpr double missed_rounds = 3.0;
  const double owned_by_each = std::ceil(static_cast<double>(tracker_.all().size()) /
                                         std::max(1.0, static_cast<double>(members_.size())));
  const absl::Duration others_limit =
      settings_.tracker.silence_limit + refreshInterval() * (owned_by_each * missed_rounds);
  for (const BackEndId& id : tracker_.expire(owned, others_limit, now)) {
    tellChanges({id}, owned.contains(id));
  }
}

absl::Duration FleetController::refreshInterval() const {
  const double nodes = std::max(1.0, static_cast<double>(members_.size()));
  return std::max(settings_.shortest_refresh, absl::Seconds(nodes / settings_.refresh_rate));
}

// Publications can be lost: the statuses of all owned back ends are repeated in turn, at a rate that does not
// grow with the site.
void FleetController::refreshOne(absl::Time now) {
  if (now < next_refresh_ || next_probe_.empty()) {
    return;
  }
  next_refresh_ = now + refreshInterval();
  auto next = next_probe_.upper_bound(last_refreshed_);
  if (next == next_probe_.end()) {
    next = next_probe_.begin();
  }
  last_refreshed_ = next->first;
  if (std::optional<BackEndStatus> status = tracker_.status(last_refreshed_)) {
    actions_.emplace_back(PublishStatus{*std::move(status)});
  }
}

void FleetController::lead(absl::Time now) {
  if (!calls_.contains(CallPurpose::kLease)) {
    if (std::optional<PlatformRequest> request = lease_.nextCall(now)) {
      call(CallPurpose::kLease, *std::move(request), now);
    }
  }
  const bool is_leader = lease_.isHeld(now);
  if (!calls_.contains(CallPurpose::kRollout)) {
    if (std::optional<PlatformRequest> request = rollout_.nextCall(is_leader, now)) {
      call(CallPurpose::kRollout, *std::move(request), now);
    }
  }
  if (!is_leader) {
    return;  // the tenure is kept: the lease may be held again under the same epoch
  }
  if (!tenure_ || tenure_->epoch != lease_.epoch()) {
    beginTenure(now);
  }
  const std::optional<absl::Time> read_at = rollout_.readAt();
  if (read_at && *read_at >= tenure_->begun) {
    carryOut(now);
  }
}

void FleetController::beginTenure(absl::Time now) {
  calls_.erase(CallPurpose::kWindow);
  tenure_ = std::make_unique<Tenure>(settings_.rollout, lease_.windowAtTakeover(),
                                     lease_.windowVersionAtTakeover(), now);
}

void FleetController::carryOut(absl::Time now) {
  const RolloutRecord& record = rollout_.record();
  if (record.model.empty()) {
    return;
  }
  if (health_model_ != record.model || health_version_ != record.target) {
    health_.clear();
    health_model_ = record.model;
    health_version_ = record.target;
  }
  RolloutPlanner& planner = tenure_->planner;
  planner.setRecord(record, tracker_);
  changeWindow(now);
  std::vector<EngineOrder> orders;
  std::vector<BackEndId> queries;
  planner.advance(tracker_, now, orders, queries);
  for (EngineOrder& order : orders) {
    if (const TrackedBackEnd* tracked = tracker_.find(order.engine)) {
      actions_.emplace_back(SendOrder{order.engine, tracked->back_end.address, std::move(order.order)});
    }
  }
  for (const BackEndId& id : queries) {
    if (const TrackedBackEnd* tracked = tracker_.find(id)) {
      actions_.emplace_back(QueryBackEnd{id, tracked->back_end.kind, tracked->back_end.address});
    }
  }
  judge(now);
}

void FleetController::changeWindow(absl::Time now) {
  WindowStore& store = tenure_->window_store;
  RolloutPlanner& planner = tenure_->planner;
  if (store.isLost()) {
    lease_.lose();
    return;
  }
  if (calls_.contains(CallPurpose::kWindow)) {
    return;
  }
  planner.admit(store.stored().engines, now);
  planner.releaseFinished(store.stored().engines);
  if (std::optional<PlatformRequest> request = store.nextCall(now)) {
    call(CallPurpose::kWindow, *std::move(request), now);
    return;
  }
  if (store.isBusy()) {
    return;
  }
  std::vector<BackEndId> engines = planner.window();
  const std::vector<BackEndId> wanted = planner.wanted(tracker_, now);
  const bool is_untidy = engines.size() < store.stored().engines.size();
  if (wanted.empty() && !(is_untidy && now - tenure_->tidied > kWindowTidyInterval)) {
    return;
  }
  engines.insert(engines.end(), wanted.begin(), wanted.end());
  tenure_->tidied = now;
  call(CallPurpose::kWindow, store.write(std::move(engines)), now);
}

// Ends the rollout, or turns it back.
void FleetController::judge(absl::Time /*now*/) {
  const RolloutRecord& record = rollout_.record();
  if (!rollout_.isIdle()) {
    return;
  }
  if (record.isActive() && tenure_->planner.isComplete()) {
    command(FinishRollout{});
    return;
  }
  std::optional<std::string> reason = tenure_->planner.failure();
  if (!reason) {
    reason = unhealthy();
  }
  const bool can_go_back = record.phase == RolloutPhase::kRunning && record.kind == RolloutKind::kWeights;
  if (reason && can_go_back) {
    command(RollBackRollout{*std::move(reason)});
  }
}

void FleetController::command(RolloutCommand command) {
  const OperationId operation(absl::StrCat("leader-", settings_.self.value(), "-",
                                           settings_.incarnation.value(), "-", ++last_operation_));
  const Result<void> taken = rollout_.enqueue(operation, std::move(command));
  static_cast<void>(taken);  // refused if operators' commands fill the queue: judged again later
}

std::optional<std::string> FleetController::unhealthy() const {
  const RolloutRecord& record = rollout_.record();
  uint64_t requests = 0;
  uint64_t errors = 0;
  for (const auto& [reporter, reported] : health_) {
    requests += reported.requests;
    errors += reported.errors;
  }
  const double limit = record.maximum_error_rate * static_cast<double>(requests);
  if (requests < record.minimum_requests || static_cast<double>(errors) <= limit) {
    return std::nullopt;
  }
  return absl::StrCat(errors, " of ", requests, " requests failed on version ", record.target.value());
}

absl::Time FleetController::nextWakeup(absl::Time now) const {
  const bool is_leader = lease_.isHeld(now);
  absl::Time next = rollout_.nextWakeup(is_leader);
  if (!calls_.contains(CallPurpose::kLease)) {
    next = std::min(next, lease_.nextWakeup(now));
  }
  for (const auto& [id, due] : next_probe_) {
    next = std::min(next, due);
  }
  if (!next_probe_.empty()) {
    next = std::min({next, next_refresh_, next_expiry_});
  }
  for (const auto& [purpose, open] : calls_) {
    next = std::min(next, open.sent + settings_.lease.call_timeout + absl::Nanoseconds(1));
  }
  if (is_leader && tenure_) {
    next = std::min({next, tenure_->planner.nextWakeup(now), tenure_->window_store.nextWakeup()});
  }
  return next;
}

FleetStatus FleetController::status(absl::Time now) const {
  FleetStatus status;
  status.is_leader = lease_.isHeld(now);
  status.epoch = lease_.epoch();
  status.rollout = rollout_.record();
  if (status.is_leader && tenure_) {
    status.progress = tenure_->planner.progress();
  }
  return status;
}

}  // namespace quincewick::fleet
