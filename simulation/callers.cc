#include "simulation/callers.h"

#include <absl/random/distributions.h>

#include <utility>

namespace quincewick::simulation {
namespace {

constexpr absl::Duration kCallerDelay = absl::Milliseconds(1);  // one way
constexpr uint32_t kMostTries = 4;                              // nodes that a caller tries to connect to

}  // namespace

Callers::Callers(EventQueue& queue, const Topology& topology, RequestPath& path, PromiseObserver& observer,
                 loadgen::WorkloadGenerator& generator, uint64_t seed)
    : queue_(queue),
      topology_(topology),
      path_(path),
      observer_(observer),
      generator_(generator),
      random_(componentRandom(seed, "callers")) {
  path_.setReceiver(this);
}

void Callers::start(absl::Time measure_from, absl::Time end) {
  start_ = queue_.now();
  measure_from_ = measure_from;
  end_ = end;
  scheduleNext();
}

void Callers::scheduleNext() {
  loadgen::Arrival arrival = generator_.next();
  const absl::Time time = start_ + arrival.time;
  if (time >= end_) {
    return;
  }
  queue_.scheduleAt(time, [this, arrival = std::move(arrival)] {
    arrive(arrival);
    scheduleNext();
  });
}

void Callers::arrive(const loadgen::Arrival& arrival) {
  const loadgen::KindSpecification& kind = generator_.workload().kinds[arrival.kind];
  const bool measured = queue_.now() >= measure_from_;
  if (kind.type != loadgen::KindType::kInference) {
    statistics_.skipped_actions += measured ? 1 : 0;
    return;
  }
  WaitingCaller caller;
  caller.arrival = queue_.now();
  caller.output_tokens = arrival.output_tokens;
  caller.urgent = kind.urgency == Urgency::kUrgent;
  caller.measured = measured;
  statistics_.requests += measured ? 1 : 0;
  waiting_.emplace(arrival.number, caller);
  queue_.scheduleAfter(kCallerDelay, [this, arrival] { tryNode(arrival, 1); });
}

NodeIndex Callers::chooseNode() {
  return absl::Uniform<NodeIndex>(random_, 0, static_cast<NodeIndex>(topology_.nodes.size()));
}

void Callers::tryNode(const loadgen::Arrival& arrival, uint32_t tries) {
  if (path_.offer(chooseNode(), arrival, start_)) {
    return;
  }
  if (tries >= kMostTries) {
    statistics_.unreachable += waiting_.at(arrival.number).measured ? 1 : 0;
    waiting_.erase(arrival.number);
    return;
  }
  queue_.scheduleAfter(2 * kCallerDelay, [this, arrival, tries] { tryNode(arrival, tries + 1); });
}

void Callers::onTokens(RequestNumber request, uint64_t from, uint64_t to) {
  observer_.tokensReceived(request, from, to);
  const auto entry = waiting_.find(request);
  if (entry == waiting_.end()) {
    return;
  }
  WaitingCaller& caller = entry->second;
  if (std::exchange(caller.got_first_token, true) || !caller.measured) {
    return;
  }
  const double seconds = absl::ToDoubleSeconds(queue_.now() + kCallerDelay - caller.arrival);
  statistics_.first_token_seconds.add(seconds);
  if (caller.urgent) {
    statistics_.urgent_first_token_seconds.add(seconds);
  }
}

void Callers::onEnd(RequestNumber request, const Usage& usage) {
  const auto entry = waiting_.find(request);
  if (entry == waiting_.end()) {
    observer_.streamEnded(request, 0);
    return;
  }
  const WaitingCaller caller = entry->second;
  waiting_.erase(entry);
  observer_.streamEnded(request, caller.output_tokens);
  if (caller.measured) {
    ++statistics_.completed;
    statistics_.prompt_tokens += usage.prompt_tokens;
    statistics_.cached_tokens += usage.cached_tokens;
    statistics_.output_tokens += usage.completion_tokens;
  }
}

void Callers::onCut(RequestNumber request, bool by_planned_stop) {
  observer_.streamCut(request, by_planned_stop);
  const auto entry = waiting_.find(request);
  if (entry != waiting_.end()) {
    statistics_.cut_streams += entry->second.measured ? 1 : 0;
    waiting_.erase(entry);
  }
}

void Callers::onRefused(RequestNumber request, Execution execution) {
  observer_.refused(request, execution);
  const auto entry = waiting_.find(request);
  if (entry == waiting_.end()) {
    return;
  }
  if (entry->second.measured) {
    ++(execution == Execution::kNotRun ? statistics_.not_run_refusals : statistics_.other_refusals);
  }
  waiting_.erase(entry);
}

}  // namespace quincewick::simulation
