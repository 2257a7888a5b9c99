// A pure, seeded source of arrivals. The load tool drives it in real time, the simulation in virtual time.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "loadgen/workload.h"
#include "types/inference_request.h"

namespace quincewick::loadgen {

// One node on a prompt's path: equal ids mean equal text.
struct PromptSegment {
  uint64_t id = 0;
  uint32_t blocks = 0;
};

// A prompt by its structure: shared segments of whole blocks, then an end of its own.
struct PromptStructure {
  std::vector<PromptSegment> segments;
  uint64_t unique_id = 0;
  uint32_t unique_characters = 0;
  uint32_t block_size = 0;

  uint64_t characters() const;
};

// One request of one caller. `tenant` and `kind` are indices into the workload.
struct Arrival {
  uint64_t number = 0;  // from 0, in time order
  absl::Duration time;  // the intended send time, since the start of the run
  size_t tenant = 0;
  size_t kind = 0;
  PromptStructure prompt;       // inference only
  uint32_t output_tokens = 0;   // inference only
  std::string idempotency_key;  // actions only; a repeat carries an earlier arrival's key
};

// Gives arrivals in time order: a Poisson process of the given mean rate under the workload's wave. Equal
// (workload, rate, seed) give equal arrivals. Not thread-safe. Unbounded: the caller stops.
class WorkloadGenerator {
 public:
  // `rate` in requests a second, > 0. The workload must be checked (as parseWorkload gives it).
  WorkloadGenerator(Workload workload, double rate, uint64_t seed);

  Arrival next();

  const Workload& workload() const { return workload_; }

 private:
  double uniform();
  uint32_t uniformIn(const Range& range);
  absl::Duration nextGap();
  PromptStructure choosePrompt(const KindSpecification& kind, size_t tenant);
  std::string chooseKey(const KindSpecification& kind, const Arrival& arrival);

  Workload workload_;
  double rate_;
  uint64_t seed_;
  std::mt19937_64 engine_;
  std::vector<double> tenant_shares_;                      // cumulative, the last is 1
  std::vector<double> kind_shares_;                        // cumulative, the last is 1
  std::vector<std::vector<std::vector<double>>> popular_;  // [tree][level]: cumulative shares of ranks
  absl::btree_map<std::pair<size_t, size_t>, std::vector<std::string>> recent_keys_;  // of (tenant, kind)
  absl::Duration time_;
  uint64_t next_number_ = 0;
};

// The prompt's text: plain lower-case words. Equal segments give equal text at equal places.
std::string renderPrompt(const PromptStructure& prompt);

// The request as decision logic sees it, without rendering text: equal beginnings give equal block keys under
// equal roots. These keys differ from those of prefix::chainPrompt; don't mix them in one run.
InferenceRequest makeInferenceRequest(const Workload& workload, const Arrival& arrival,
                                      WeightsVersion weights_version, absl::Time start);

}  // namespace quincewick::loadgen
