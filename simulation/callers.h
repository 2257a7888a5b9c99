// The callers of a simulated site: they send a workload's requests and watch their answers.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>

#include "loadgen/workload_generator.h"
#include "simulation/component_random.h"
#include "simulation/event_queue.h"
#include "simulation/promise_observer.h"
#include "simulation/request_path.h"
#include "simulation/samples.h"

namespace quincewick::simulation {

// What callers saw of the requests that arrived in the measured part of a run.
struct CallerStatistics {
  uint64_t requests = 0;
  uint64_t completed = 0;
  uint64_t not_run_refusals = 0;
  uint64_t other_refusals = 0;
  uint64_t cut_streams = 0;
  uint64_t unreachable = 0;  // no node answered
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t output_tokens = 0;
  uint64_t skipped_actions = 0;  // actions and lookups of the workload, which are not simulated yet
  Samples first_token_seconds;
  Samples urgent_first_token_seconds;
};

class Callers final : public AnswerReceiver {
 public:
  // All references must outlive the callers.
  Callers(EventQueue& queue, const Topology& topology, RequestPath& path, PromiseObserver& observer,
          loadgen::WorkloadGenerator& generator, uint64_t seed);

  // Sends requests from now until `end`; those from `measure_from` on count.
  void start(absl::Time measure_from, absl::Time end);

  const CallerStatistics& statistics() const { return statistics_; }
  uint64_t waiting() const { return waiting_.size(); }

  void onTokens(RequestNumber request, uint64_t from, uint64_t to) override;
  void onEnd(RequestNumber request, const Usage& usage) override;
  void onCut(RequestNumber request, bool by_planned_stop) override;
  void onRefused(RequestNumber request, Execution execution) override;

 private:
  struct WaitingCaller {
    absl::Time arrival;
    uint64_t output_tokens = 0;
    bool urgent = false;
    bool measured = false;
    bool got_first_token = false;
  };

  void scheduleNext();
  void arrive(const loadgen::Arrival& arrival);
  void tryNode(const loadgen::Arrival& arrival, uint32_t tries);
  NodeIndex chooseNode();

  EventQueue& queue_;
  const Topology& topology_;
  RequestPath& path_;
  PromiseObserver& observer_;
  loadgen::WorkloadGenerator& generator_;
  Random random_;
  absl::Time start_;
  absl::Time measure_from_;
  absl::Time end_;
  CallerStatistics statistics_;
  absl::flat_hash_map<RequestNumber, WaitingCaller> waiting_;  // looked up only, never iterated
};

}  // namespace quincewick::simulation
