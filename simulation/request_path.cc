#include "simulation/request_path.h"

#include <absl/hash/hash.h>
#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "simulation/heap_usage.h"

namespace quincewick::simulation {
namespace {

using emulator::EngineAction;

constexpr absl::Duration kClockTick = absl::Milliseconds(1);
constexpr absl::Duration kFirstTokenOverhead = absl::Milliseconds(20);
// loadgen names request N "rN".
RequestNumber numberOf(const RequestId& id) {
  RequestNumber number = 0;
  const std::string& text = id.value();
  const bool parsed = absl::SimpleAtoi(absl::string_view(text.data() + 1, text.size() - 1), &number);
  return parsed ? number : std::numeric_limits<RequestNumber>::max();
}

// Tells tenants apart in the engines' caches, as the keyed salt does on the wire.
uint64_t saltOf(const PrefixRoot& root) {
  uint64_t salt = 0xCBF29CE484222325U;
  for (const char letter : root.isolation_domain.value()) {
    salt = (salt ^ static_cast<uint8_t>(letter)) * 0x100000001B3U;
  }
  return salt;
}

}  // namespace

RequestPath::RequestPath(EventQueue& queue, const NetworkModel& network, const Topology& topology,
                         EngineFleet& engines, ControlSite& control, PromiseObserver& observer,
                         const loadgen::Workload& workload, const RequestPathSettings& settings,
                         uint64_t seed)
    : queue_(queue),
      network_(network),
      topology_(topology),
      engines_(engines),
      control_(control),
      observer_(observer),
      workload_(workload),
      settings_(settings),
      network_random_(componentRandom(seed, "connections")),
      nodes_(topology.nodes.size()) {
  for (NodeIndex node = 0; node < nodes_.size(); ++node) {
    nodes_[node].random = componentRandom(seed, "router of " + topology.nodes[node].value());
  }
  for (EngineIndex engine = 0; engine < topology.engines.size(); ++engine) {
    engine_indices_.emplace(topology.engines[engine], engine);
  }
  engines_.setActionHandler(
      [this](EngineIndex engine, const EngineAction& action) { onEngineAction(engine, action); });
}

void RequestPath::resetCosts() {
  routing_cpu_seconds_ = 0;
  stream_cpu_seconds_ = 0;
  placements_ = 0;
  retried_attempts_ = 0;
  recomputed_tokens_ = 0;
}

std::vector<uint64_t> RequestPath::measureMemoryAndStop() {
  std::vector<uint64_t> bytes;
  for (NodeState& state : nodes_) {
    if (state.router == nullptr) {
      continue;
    }
    const uint64_t before = heapBytesInUse();
    state.router = nullptr;
    state.admission = nullptr;
    bytes.push_back(before - heapBytesInUse());
  }
  return bytes;
}

void RequestPath::nodeStarted(NodeIndex node) {
  NodeState& state = nodes_[node];
  routing::RouterSettings router = settings_.router;
  router.directory.zone = topology_.zones[topology_.zoneOfNode(node)].name;
  for (const Zone& zone : topology_.zones) {
    router.directory.regions[zone.name] = topology_.regions[zone.region];
  }
  state.router = std::make_unique<routing::Router>(router);
  admission::AdmissionConfiguration admission = settings_.admission;
  const double share = static_cast<double>(engines_.size()) / static_cast<double>(nodes_.size());
  admission.window.maximum = std::max(1.0, share * engines_.engine(0).settings().maximum_running);
  admission.window.initial = admission.window.maximum;
  state.admission = std::make_unique<admission::AdmissionController>(admission);
  state.admission_wakeup = absl::InfiniteFuture();
  state.stopping = false;
  for (EngineIndex engine = 0; engine < engines_.size(); ++engine) {
    tellRouter(node, routing::EngineUpserted{engines_.describe(engine)});
  }
}

void RequestPath::tellRouter(NodeIndex node, const routing::RouterEvent& event) {
  if (nodes_[node].router == nullptr) {
    return;
  }
  // Cache events are read each period anyway, from where the router wants them.
  nodes_[node].router->handle(event, queue_.now());
}

void RequestPath::nodeCrashed(NodeIndex node) {
  NodeState& state = nodes_[node];
  const absl::btree_set<RequestNumber> open = std::exchange(state.open, {});
  for (const RequestNumber number : open) {
    for (const AttemptId attempt : open_.at(number)->attempts) {
      cancelAttempt(attempt);
    }
    open_.erase(number);
    receiver_->onCut(number, false);
  }
  state.router = nullptr;
  state.admission = nullptr;
}

void RequestPath::cutOpenRequests(NodeIndex node) {
  const absl::btree_set<RequestNumber> open = std::exchange(nodes_[node].open, {});
  for (const RequestNumber number : open) {
    for (const AttemptId attempt : open_.at(number)->attempts) {
      cancelAttempt(attempt);
    }
    open_.erase(number);
    receiver_->onCut(number, true);
  }
}

bool RequestPath::wouldServe(NodeIndex node) const {
  const bool answers = takesRequests(node) && !control_.isPaused(node);
  return answers && control_.plane(node)->configuration().isReady() &&
         nodes_[node].router->directory().size() > 0;
}

bool RequestPath::offer(NodeIndex node, const loadgen::Arrival& arrival, absl::Time start) {
  if (!takesRequests(node)) {
    return false;
  }
  if (control_.isPaused(node)) {
    queue_.scheduleAt(control_.pausedUntil(node), [this, node, arrival, start] {
      if (!offer(node, arrival, start)) {
        receiver_->onCut(arrival.number, false);
      }
    });
    return true;
  }
  if (!control_.plane(node)->configuration().isReady()) {
    receiver_->onRefused(arrival.number, Execution::kNotRun);
    return true;
  }
  observer_.nodeServes(node, queue_.now());
  NodeState& state = nodes_[node];
  const loadgen::KindSpecification& kind = workload_.kinds[arrival.kind];
  const auto versions = state.router->readyVersions(kind.model);
  if (versions.empty()) {
    receiver_->onRefused(arrival.number, Execution::kNotRun);
    return true;
  }
  const auto most =
      std::max_element(versions.begin(), versions.end(),
                       [](const auto& left, const auto& right) { return left.second < right.second; });
  auto open = std::make_unique<OpenRequest>();
  open->node = node;
  open->request = loadgen::makeInferenceRequest(workload_, arrival, most->first, start);
  open->stream = streams::AnswerStream(settings_.stream);
  const Result<routing::RouteDecision> decision = state.router->route(open->request);
  if (decision.has_error()) {
    receiver_->onRefused(arrival.number, decision.error().execution);
    return true;
  }
  open->decision = decision.value();
  const admission::LimitRequested limited{open->request.id, open->request.tenant,
                                          open->request.maximum_output_tokens};
  open_.emplace(arrival.number, std::move(open));
  state.open.insert(arrival.number);
  control_.handle(node, limited);
  return true;
}

void RequestPath::onLimitDecision(NodeIndex node, const admission::LimitDecision& decision) {
  NodeState& state = nodes_[node];
  const RequestNumber number = numberOf(decision.id);
  const auto entry = open_.find(number);
  if (entry == open_.end() || state.admission == nullptr) {
    return;
  }
  if (!decision.allowed) {
    open_.erase(entry);
    state.open.erase(number);
    receiver_->onRefused(number, decision.refusal.execution);
    return;
  }
  const OpenRequest& open = *entry->second;
  admission::RequestOffered offered;
  offered.request = open.request;
  offered.request.deadline = open.decision.deadline;
  offered.expected_first_token = expectedFirstToken(node, open);
  applyAdmission(node, state.admission->handle(std::move(offered), queue_.now(), state.random));
}

absl::Duration RequestPath::expectedFirstToken(NodeIndex node, const OpenRequest& open) {
  NodeState& state = nodes_[node];
  const double before = threadCpuSeconds();
  const Result<routing::Placement> placement =
      state.router->choose(open.request, open.decision, {}, queue_.now(), state.random);
  routing_cpu_seconds_ += threadCpuSeconds() - before;
  ++placements_;
  const uint64_t cached = placement.has_value() ? placement.value().expected_cached_tokens : 0;
  const uint64_t uncached = open.request.prompt.size() - std::min(cached, open.request.prompt.size());
  return kFirstTokenOverhead + uncached * engines_.engine(0).settings().prefill_per_token;
}

void RequestPath::applyAdmission(NodeIndex node, std::vector<admission::AdmissionAction> actions) {
  for (admission::AdmissionAction& action : actions) {
    if (const auto* start = std::get_if<admission::Start>(&action)) {
      begin(numberOf(start->request.id));
      continue;
    }
    const auto& refuse = std::get<admission::Refuse>(action);
    const RequestNumber number = numberOf(refuse.id);
    open_.erase(number);
    nodes_[node].open.erase(number);
    receiver_->onRefused(number, refuse.refusal.execution);
  }
  scheduleAdmissionWakeup(node);
}

void RequestPath::scheduleAdmissionWakeup(NodeIndex node) {
  NodeState& state = nodes_[node];
  if (state.admission == nullptr) {
    return;
  }
  // What expires at the wakeup itself is refused only after it.
  const absl::Time due = state.admission->nextWakeup() + kClockTick;
  if (due >= state.admission_wakeup) {
    return;
  }
  state.admission_wakeup = due;
  queue_.scheduleAt(due, [this, node, due] {
    NodeState& woken = nodes_[node];
    if (woken.admission == nullptr || woken.admission_wakeup != due) {
      return;
    }
    woken.admission_wakeup = absl::InfiniteFuture();
    applyAdmission(node, woken.admission->handle(admission::Tick(), queue_.now(), woken.random));
  });
}

void RequestPath::begin(RequestNumber number) {
  open_.at(number)->started = true;
  feed(number, streams::RequestOpened());
}

void RequestPath::feed(RequestNumber number, streams::AnswerEvent event) {
  absl::InlinedVector<streams::AnswerEvent, 2> events;
  events.push_back(std::move(event));
  for (size_t position = 0; position < events.size(); ++position) {
    const auto entry = open_.find(number);
    if (entry == open_.end()) {
      return;
    }
    OpenRequest& open = *entry->second;
    for (const streams::AnswerAction& action : open.stream.handle(std::move(events[position]))) {
      std::optional<streams::AnswerEvent> follow_up = carryOut(number, open, action);
      if (follow_up) {
        events.push_back(std::move(*follow_up));
      }
      if (!open_.contains(number)) {
        return;
      }
    }
  }
}

std::optional<streams::AnswerEvent> RequestPath::carryOut(RequestNumber number, OpenRequest& open,
                                                          const streams::AnswerAction& action) {
  if (const auto* token = std::get_if<streams::DeliverToken>(&action)) {
    receiver_->onTokens(number, token->offset, token->offset + 1);
    return streams::CallerDrained{token->text.size()};
  }
  if (const auto* start = std::get_if<streams::StartAttempt>(&action)) {
    return startAttempt(number, open, *start);
  }
  if (const auto* resume = std::get_if<streams::ResumeAtEngine>(&action)) {
    // Resumption is not modelled: the engine is taken to have lost the stream.
    return streams::EngineLost{resume->attempt,
                               Error{ErrorCode::kNotFound, "no such stream", Execution::kRan}};
  }
  if (const auto* cancel = std::get_if<streams::CancelAtEngine>(&action)) {
    for (const AttemptId id : std::vector<AttemptId>(open.attempts)) {
      const auto attempt = attempts_.find(id);
      if (attempt != attempts_.end() && attempt->second.number == cancel->attempt) {
        cancelAttempt(id);
      }
    }
    return std::nullopt;
  }
  if (const auto* end = std::get_if<streams::DeliverEnd>(&action)) {
    receiver_->onEnd(number, end->end.usage);
    close(number, admission::FinishKind::kCompleted);
    return std::nullopt;
  }
  if (const auto* cut = std::get_if<streams::DeliverCut>(&action)) {
    if (open.stream.tokenDelivered()) {
      receiver_->onCut(number, false);
    } else {
      receiver_->onRefused(number, cut->error.execution);
    }
    close(number, admission::FinishKind::kFailed);
  }
  return std::nullopt;
}

std::optional<streams::AnswerEvent> RequestPath::startAttempt(RequestNumber number, OpenRequest& open,
                                                              const streams::StartAttempt& start) {
  NodeState& state = nodes_[open.node];
  const double before = threadCpuSeconds();
  const Result<routing::Placement> placement =
      state.router->choose(open.request, open.decision, {open.excluded}, queue_.now(), state.random);
  if (placement.has_value()) {
    state.router->handle(routing::RequestSent{open.request, placement.value().engine,
                                              placement.value().expected_cached_tokens},
                         queue_.now());
  }
  routing_cpu_seconds_ += threadCpuSeconds() - before;
  ++placements_;
  if (placement.has_error()) {
    return streams::EngineLost{start.attempt,
                               Error{ErrorCode::kNotFound, placement.error().message, Execution::kNotRun}};
  }
  retried_attempts_ += open.excluded.empty() ? 0 : 1;
  next_attempt_ = next_attempt_.next();
  const AttemptId id = next_attempt_;
  open.attempts.push_back(id);
  open.excluded.push_back(placement.value().engine);
  Attempt attempt;
  attempt.request = number;
  attempt.number = start.attempt;
  attempt.node = open.node;
  attempt.engine = indexOf(placement.value().engine);
  attempt.from_offset = start.from_offset;
  attempts_.emplace(id, attempt);
  dispatch(id, placement.value());
  return std::nullopt;
}

void RequestPath::dispatch(AttemptId id, const routing::Placement& placement) {
  const Attempt& attempt = attempts_.at(id);
  const OpenRequest& open = *open_.at(attempt.request);
  emulator::EngineRequest request;
  request.id = id;
  request.model = open.request.model;
  request.adapter = open.request.adapter;
  request.priority = static_cast<uint8_t>(open.decision.urgency);
  request.salt = saltOf(open.request.root);
  request.prompt = open.request.prompt;
  request.prompt.tail_size += static_cast<uint32_t>(attempt.from_offset);
  request.output_tokens = open.request.maximum_output_tokens - static_cast<uint32_t>(attempt.from_offset);
  request.wanted_weights = placement.weights_version;
  request.wanted_incarnation = placement.incarnation;
  const ZoneIndex from = topology_.zoneOfNode(attempt.node);
  const ZoneIndex to = topology_.zoneOfEngine(attempt.engine);
  const absl::Duration delay = network_.connectionDelay(from, to, network_random_);
  queue_.scheduleAfter(delay, [this, id, from, to, request = std::move(request)]() mutable {
    const auto entry = attempts_.find(id);
    if (entry == attempts_.end()) {
      return;
    }
    if (!network_.reachable(from, to)) {
      queue_.scheduleAfter(settings_.connection_timeout,
                           [this, id] { onAttemptLost(id, 0, ErrorCode::kUnavailable); });
      return;
    }
    observer_.workArrived(entry->second.engine, queue_.now());
    engines_.handle(entry->second.engine, emulator::SubmitRequest{std::move(request)});
  });
}

void RequestPath::cancelAttempt(AttemptId id) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) {
    return;
  }
  const Attempt attempt = entry->second;
  endAttempt(id, std::nullopt);
  const ZoneIndex from = topology_.zoneOfNode(attempt.node);
  const ZoneIndex to = topology_.zoneOfEngine(attempt.engine);
  const absl::Duration delay = network_.connectionDelay(from, to, network_random_);
  queue_.scheduleAfter(delay, [this, id, from, to, engine = attempt.engine] {
    if (network_.reachable(from, to)) {
      engines_.handle(engine, emulator::CancelRequest{id});
    }
  });
}

void RequestPath::endAttempt(AttemptId id, const std::optional<Usage>& usage) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) {
    return;
  }
  const Attempt attempt = entry->second;
  attempts_.erase(entry);
  const auto open = open_.find(attempt.request);
  if (open == open_.end()) {
    return;
  }
  std::vector<AttemptId>& attempts = open->second->attempts;
  attempts.erase(std::remove(attempts.begin(), attempts.end(), id), attempts.end());
  if (nodes_[attempt.node].router == nullptr) {
    return;
  }
  routing::RequestEnded ended;
  ended.request = open->second->request.id;
  ended.engine = topology_.engines[attempt.engine];
  ended.incarnation = usage ? engines_.engine(attempt.engine).incarnation() : Incarnation();
  ended.usage = usage;
  const double before = threadCpuSeconds();
  nodes_[attempt.node].router->handle(ended, queue_.now());
  routing_cpu_seconds_ += threadCpuSeconds() - before;
}

void RequestPath::close(RequestNumber number, admission::FinishKind kind) {
  OpenRequest& open = *open_.at(number);
  const NodeIndex node = open.node;
  for (const AttemptId id : std::vector<AttemptId>(open.attempts)) {
    cancelAttempt(id);
  }
  const RequestId id = open.request.id;
  open_.erase(number);
  nodes_[node].open.erase(number);
  applyAdmission(node, nodes_[node].admission->handle(admission::RequestFinished{id, kind}, queue_.now(),
                                                      nodes_[node].random));
}

}  // namespace quincewick::simulation
