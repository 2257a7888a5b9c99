// Runs a trace through router nodes and emulated engines on virtual time, and measures what callers get.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "ablation/trace.h"
#include "emulator/engine_settings.h"
#include "routing/router.h"

namespace quincewick::ablation {

// One policy in the comparison.
struct Contender {
  std::string name;
  routing::RouterSettings router;
  bool cache_events = true;  // whether nodes read them
  bool load_reports = true;  // whether nodes get them
  bool in_flight = true;     // whether nodes count their own work in flight
  bool oracle = false;       // one node that knows every cache and every queue as it is
};

struct SimulationSettings {
  emulator::EngineSettings engine;
  absl::Duration trip = absl::Milliseconds(1);           // between a node and an engine, one way
  absl::Duration poll_period = absl::Milliseconds(250);  // of load reports and cache events, by each node
  absl::Duration warm_up = absl::Seconds(60);            // not measured
  absl::Duration drain_limit = absl::Seconds(120);       // after the last arrival
  bool equal_priorities = false;                         // engines serve in order of arrival
};

struct Percentiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  size_t count = 0;
};

struct KindReport {
  std::string kind;
  bool urgent = false;
  Percentiles first_token_seconds;
};

// Over the requests that arrived after the warm-up.
struct Report {
  std::string contender;
  Percentiles urgent_first_token_seconds;  // of all urgent kinds together
  std::vector<KindReport> kinds;
  double hit_rate = 0;             // cached tokens / prompt tokens
  uint64_t recomputed_tokens = 0;  // of full blocks that some engine had computed before
  uint64_t refused = 0;            // by every engine that was tried
  uint64_t unanswered = 0;         // no first token by the end; their wait so far is in the percentiles
  uint64_t finished = 0;           // within the length of the trace, the warm-up not counted
  uint64_t imported_blocks = 0;
  double most_over_mean_load = 0;  // requests of the busiest engine / the mean
};

Report simulate(const Mix& mix, const std::vector<Arrival>& trace, const Contender& contender,
                const SimulationSettings& settings);

}  // namespace quincewick::ablation
