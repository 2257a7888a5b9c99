#include "simulation/promise_observer.h"

namespace quincewick::simulation {

PromiseObserver::PromiseObserver(size_t nodes, size_t engines, PromiseLimits limits)
    : limits_(limits),
      leaving_since_(engines, absl::InfiniteFuture()),
      started_at_(nodes, absl::InfiniteFuture()),
      in_force_(nodes) {}

void PromiseObserver::engineTookRequest(RequestNumber request) {
  taken_.insert(request);
  if (refused_as_not_run_.contains(request)) {
    ++violations_.false_not_run;
  }
}

void PromiseObserver::workArrived(EngineIndex engine, absl::Time now) {
  if (now - leaving_since_[engine] > limits_.new_work_to_leaving) {
    ++violations_.work_to_leaving;
  }
}

void PromiseObserver::actionRan(RequestNumber request, const std::string& key) {
  if (++action_runs_[key] > 1) {
    ++violations_.repeated_actions;
  }
  engineTookRequest(request);
}

void PromiseObserver::tokensReceived(RequestNumber request, uint64_t from, uint64_t to) {
  uint64_t& next = next_offset_[request];
  if (from != next || to < from) {
    ++violations_.broken_streams;
  }
  next = to;
}

void PromiseObserver::streamEnded(RequestNumber request, uint64_t expected_tokens) {
  const auto entry = next_offset_.find(request);
  if (entry == next_offset_.end() || entry->second != expected_tokens) {
    ++violations_.broken_streams;
  }
  // A second end marker finds no entry and counts as broken.
  next_offset_.erase(request);
}

void PromiseObserver::streamCut(RequestNumber request, bool by_planned_stop) {
  if (by_planned_stop) {
    ++violations_.broken_streams;
  }
  next_offset_.erase(request);
}

void PromiseObserver::refused(RequestNumber request, Execution execution) {
  if (execution != Execution::kNotRun) {
    return;
  }
  refused_as_not_run_.insert(request);
  if (taken_.contains(request)) {
    ++violations_.false_not_run;
  }
}

void PromiseObserver::nodeServes(NodeIndex node, absl::Time now) {
  if (now - started_at_[node] > limits_.serving_after_restart) {
    ++violations_.restart_not_serving;
  }
  started_at_[node] = absl::InfiniteFuture();
}

void PromiseObserver::checkRestarts(absl::Time now) {
  for (absl::Time& started_at : started_at_) {
    if (now - started_at > limits_.serving_after_restart) {
      ++violations_.restart_not_serving;
      started_at = absl::InfiniteFuture();
    }
  }
}

void PromiseObserver::configurationAccepted(ConfigurationVersion version, uint64_t content) {
  accepted_.try_emplace(version, content);
}

void PromiseObserver::configurationInForce(NodeIndex node, ConfigurationVersion version, uint64_t content) {
  const auto entry = accepted_.find(version);
  if (entry == accepted_.end() || entry->second != content || version < in_force_[node]) {
    ++violations_.configuration_reverted;
  }
  in_force_[node] = version;
}

}  // namespace quincewick::simulation
