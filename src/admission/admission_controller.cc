#include "admission/admission_controller.h"

#include <absl/random/uniform_real_distribution.h>

#include <algorithm>

namespace quincewick::admission {
namespace {

// Retry-After is spread up to this factor, so that refused callers don't come back all at once.
constexpr double kRetrySpread = 1.5;
// Times to first token below this are noise when compared with what was expected.
constexpr absl::Duration kSmallestFirstToken = absl::Milliseconds(10);
// A class may save up credit for this many times the request it waits to start.
constexpr double kLargestCreditInHeads = 2;

}  // namespace

AdmissionController::AdmissionController(AdmissionConfiguration configuration)
    : configuration_(std::move(configuration)), window_(configuration_.window) {}

std::vector<AdmissionAction> AdmissionController::handle(AdmissionEvent event, absl::Time now,
                                                         absl::BitGenRef random) {
  Actions actions;
  // A caller that has gone away gets no refusal, even when its request has expired just now.
  const bool cancellation = std::holds_alternative<RequestCancelled>(event);
  if (!cancellation) {
    refuseExpired(now, random, actions);
  }
  std::visit([&](auto& concrete) { on(concrete, now, random, actions); }, event);
  if (cancellation) {
    refuseExpired(now, random, actions);
  }
  startWhatFits(now, actions);
  return actions;
}

absl::Time AdmissionController::nextWakeup() const {
  return expiries_.empty() ? absl::InfiniteFuture() : expiries_.begin()->first.first;
}

size_t AdmissionController::waiting() const {
  return waiting_places_.size();
}

absl::Duration AdmissionController::expectedWait(const TenantId& tenant, Urgency urgency, double cost,
                                                 absl::Time now) const {
  const FairQueue& queue = queueOf(urgency).queue;
  if (queue.size() == 0 && fits(urgency)) {
    return absl::ZeroDuration();
  }
  const double rate = drain_.availableRate(urgency, window_.limit(), classOf(urgency).minimum_share, now);
  if (rate <= 0) {
    return absl::ZeroDuration();
  }
  double ahead = 0;
  for (size_t more_urgent = 0; more_urgent < static_cast<size_t>(urgency); ++more_urgent) {
    ahead += queues_[more_urgent].queue.backlog();
  }
  const double weight = weightOf(tenant);
  const double active_weight = queue.activeWeight() + (queue.sizeOf(tenant) == 0 ? weight : 0);
  const double own_turn = (queue.backlogOf(tenant) + cost) * active_weight / weight;
  ahead += std::min(own_turn, queue.backlog() + cost);
  return absl::Seconds(ahead / rate);
}

void AdmissionController::on(RequestOffered& event, absl::Time now, absl::BitGenRef random,
                             Actions& actions) {
  const InferenceRequest& request = event.request;
  if (running_.contains(request.id) || waiting_places_.contains(request.id)) {
    actions.push_back(refuse(request, RefusalReason::kDuplicateId, absl::ZeroDuration(), random));
    return;
  }
  const absl::Duration wait = expectedWait(request.tenant, request.urgency, event.cost, now);
  const absl::Duration lateness = now + wait + event.expected_first_token - request.deadline;
  if (lateness > absl::ZeroDuration()) {
    actions.push_back(refuse(request, RefusalReason::kDeadlineUnreachable, lateness, random));
    return;
  }
  if (queueOf(request.urgency).queue.sizeOf(request.tenant) >= configuration_.maximum_waiting_per_tenant) {
    actions.push_back(refuse(request, RefusalReason::kTenantQueueFull, wait, random));
    return;
  }
  if (makeRoom(event, now, random, actions)) {
    enqueue(event, now);
  }
}

void AdmissionController::on(FirstTokenArrived& event, absl::Time now, absl::BitGenRef /*random*/,
                             Actions& /*actions*/) {
  const auto found = running_.find(event.id);
  if (found == running_.end() || found->second.has_first_token) {
    return;
  }
  RunningRequest& running = found->second;
  running.has_first_token = true;
  const absl::Duration expected = std::max(running.expected_first_token, kSmallestFirstToken);
  const double slowdown = absl::FDivDuration(now - running.started, expected);
  window_.recordFirstToken(running.urgency, slowdown, static_cast<double>(running_.size()), now);
}

void AdmissionController::on(RequestFinished& event, absl::Time now, absl::BitGenRef /*random*/,
                             Actions& /*actions*/) {
  release(event.id, event.kind, now);
}

void AdmissionController::on(RequestCancelled& event, absl::Time now, absl::BitGenRef /*random*/,
                             Actions& /*actions*/) {
  const auto place = waiting_places_.find(event.id);
  if (place == waiting_places_.end()) {
    release(event.id, FinishKind::kFailed, now);
    return;
  }
  const WaitingPlace where = place->second;
  if (const auto dropped = queueOf(where.urgency).queue.remove(where.tenant, where.sequence)) {
    forget(*dropped);
  }
}

void AdmissionController::on(CapacityChanged& event, absl::Time /*now*/, absl::BitGenRef /*random*/,
                             Actions& /*actions*/) {
  window_.setMaximum(event.maximum_in_flight);
}

void AdmissionController::on(AdmissionReconfigured& event, absl::Time /*now*/, absl::BitGenRef /*random*/,
                             Actions& /*actions*/) {
  configuration_ = std::move(event.configuration);
  window_ = ConcurrencyWindow(configuration_.window);
}

void AdmissionController::on(Tick& /*event*/, absl::Time /*now*/, absl::BitGenRef /*random*/,
                             Actions& /*actions*/) {
  // handle() refuses what has expired and starts what fits on every event.
}

const ClassConfiguration& AdmissionController::classOf(Urgency urgency) const {
  return configuration_.classes[static_cast<size_t>(urgency)];
}

double AdmissionController::weightOf(const TenantId& tenant) const {
  const auto found = configuration_.tenant_weights.find(tenant);
  return found == configuration_.tenant_weights.end() ? configuration_.default_weight : found->second;
}

// A full node drops the newest request of the tenant that has most waiting for its weight in the least urgent
// class, unless the new request itself has the weaker claim.
bool AdmissionController::makeRoom(const RequestOffered& offered, absl::Time now, absl::BitGenRef random,
                                   Actions& actions) {
  if (waiting() < configuration_.maximum_waiting) {
    return true;
  }
  const InferenceRequest& request = offered.request;
  for (size_t level = kAllUrgencies.size(); level-- > static_cast<size_t>(request.urgency);) {
    const Urgency urgency = kAllUrgencies[level];
    FairQueue& queue = queues_[level].queue;
    const std::optional<TenantId> victim = queue.mostBacklogged();
    if (!victim.has_value()) {
      continue;
    }
    const double offered_claim = (queue.backlogOf(request.tenant) + offered.cost) / weightOf(request.tenant);
    const bool same_class = urgency == request.urgency;
    if (same_class && offered_claim >= queue.backlogOf(*victim) / weightOf(*victim)) {
      break;
    }
    const WaitingRequest displaced = queue.popNewest(*victim);
    forget(displaced);
    const absl::Duration wait = expectedWait(*victim, urgency, displaced.cost, now);
    actions.push_back(refuse(displaced.request, RefusalReason::kDisplaced, wait, random));
    return true;
  }
  const absl::Duration wait = expectedWait(request.tenant, request.urgency, offered.cost, now);
  actions.push_back(refuse(request, RefusalReason::kQueueFull, wait, random));
  return false;
}

void AdmissionController::enqueue(RequestOffered& offered, absl::Time now) {
  const Urgency urgency = offered.request.urgency;
  const absl::Time latest_start = offered.request.deadline - offered.expected_first_token;
  const absl::Time expiry = std::min(latest_start, now + classOf(urgency).maximum_wait);
  const uint64_t sequence = next_sequence_++;
  waiting_places_.emplace(offered.request.id,
                          WaitingPlace{urgency, offered.request.tenant, sequence, expiry});
  expiries_.emplace(std::pair(expiry, sequence), offered.request.id);
  const double weight = weightOf(offered.request.tenant);
  queueOf(urgency).queue.push(WaitingRequest{sequence, std::move(offered.request), offered.cost,
                                             offered.expected_first_token, expiry},
                              weight);
}

void AdmissionController::forget(const WaitingRequest& waiting) {
  waiting_places_.erase(waiting.request.id);
  expiries_.erase({waiting.expiry, waiting.sequence});
}

void AdmissionController::refuseExpired(absl::Time now, absl::BitGenRef random, Actions& actions) {
  while (!expiries_.empty() && expiries_.begin()->first.first < now) {
    const WaitingPlace place = waiting_places_.at(expiries_.begin()->second);
    const auto expired = queueOf(place.urgency).queue.remove(place.tenant, place.sequence);
    forget(*expired);
    const bool deadline_passed = expired->request.deadline - expired->expected_first_token < now;
    const RefusalReason reason =
        deadline_passed ? RefusalReason::kDeadlinePassed : RefusalReason::kWaitedTooLong;
    const absl::Duration wait = expectedWait(place.tenant, place.urgency, expired->cost, now);
    actions.push_back(refuse(expired->request, reason, wait, random));
  }
}

void AdmissionController::startWhatFits(absl::Time now, Actions& actions) {
  while (ClassQueue* chosen = nextToStart()) {
    WaitingRequest next = chosen->queue.pop();
    forget(next);
    const Urgency urgency = next.request.urgency;
    chosen->owed = chosen->queue.size() == 0 ? 0 : std::max(0.0, chosen->owed - next.cost);
    creditWaitingClasses(next.cost);
    running_.emplace(next.request.id,
                     RunningRequest{urgency, next.cost, next.expected_first_token, now, false});
    drain_.recordStart(urgency, next.cost, now);
    actions.push_back(Start{std::move(next.request)});
  }
}

// A class that is owed its minimum share comes first, then the most urgent that fits its part of the window.
// A class that has been owed for long may use the part kept free for others.
AdmissionController::ClassQueue* AdmissionController::nextToStart() {
  if (static_cast<double>(running_.size()) + 1 > std::max(1.0, window_.limit())) {
    return nullptr;
  }
  for (const Urgency urgency : kAllUrgencies) {
    ClassQueue& candidate = queueOf(urgency);
    const WaitingRequest* head = candidate.queue.front();
    const bool owed = head != nullptr && candidate.owed >= head->cost;
    const bool owed_for_long = owed && candidate.owed >= kLargestCreditInHeads * head->cost;
    if (owed_for_long || (owed && fits(urgency))) {
      return &candidate;
    }
  }
  for (const Urgency urgency : kAllUrgencies) {
    if (queueOf(urgency).queue.front() != nullptr && fits(urgency)) {
      return &queueOf(urgency);
    }
  }
  return nullptr;
}

void AdmissionController::creditWaitingClasses(double cost) {
  for (size_t level = 0; level < kAllUrgencies.size(); ++level) {
    ClassQueue& waiting_class = queues_[level];
    const WaitingRequest* head = waiting_class.queue.front();
    if (head == nullptr) {
      continue;
    }
    const double credit = cost * configuration_.classes[level].minimum_share;
    waiting_class.owed = std::min(waiting_class.owed + credit, kLargestCreditInHeads * head->cost);
  }
}

bool AdmissionController::fits(Urgency urgency) const {
  const double share = classOf(urgency).window_share;
  return static_cast<double>(running_.size()) + 1 <= std::max(1.0, window_.limit() * share);
}

void AdmissionController::release(const RequestId& id, FinishKind kind, absl::Time now) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  const RunningRequest running = found->second;
  running_.erase(found);
  if (kind == FinishKind::kCompleted) {
    drain_.recordFinish(running.cost, now - running.started);
  } else if (kind == FinishKind::kOverloaded) {
    window_.recordOverload(now);
  }
}

Refuse AdmissionController::refuse(const InferenceRequest& request, RefusalReason reason,
                                   absl::Duration expected_wait, absl::BitGenRef random) const {
  const double spread = absl::uniform_real_distribution<double>(1, kRetrySpread)(random);
  const absl::Duration retry_after = std::clamp(expected_wait * spread, configuration_.shortest_retry_after,
                                                configuration_.longest_retry_after);
  return Refuse{request.id, Refusal{reason, refusalClass(reason), retry_after, Execution::kNotRun}};
}

}  // namespace quincewick::admission
