// The traffic of a deployment as a seeded trace: what the policies are compared on.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "types/inference_request.h"

namespace quincewick::ablation {

// A sort of request: how deep into its tenant's tree of shared beginnings it goes, and what it adds.
struct KindProfile {
  std::string name;
  Urgency urgency = Urgency::kStandard;
  double share = 0;           // of all requests
  uint32_t levels = 1;        // of the tree: 1 the tenant's root, 2 a section, 3 a chapter of it
  uint32_t minimum_tail = 0;  // characters of its own
  uint32_t maximum_tail = 0;
  uint32_t minimum_output = 1;  // tokens
  uint32_t maximum_output = 1;
};

// A range of block counts.
struct BlockRange {
  uint32_t minimum = 1;
  uint32_t maximum = 1;
};

// A deployment: its engines, its tenants' trees of shared beginnings and its kinds.
struct Mix {
  std::string name;
  uint32_t engines = 1;
  uint32_t nodes = 1;
  std::vector<double> tenant_weights;
  BlockRange root_blocks;
  uint32_t sections = 1;  // of a tenant
  BlockRange section_blocks;
  uint32_t chapters = 1;  // of a section
  BlockRange chapter_blocks;
  double popularity_exponent = 1;  // Zipf, over a tenant's sections and chapters
  absl::Duration shift_period;     // after which the popularity is dealt out anew
  std::vector<KindProfile> kinds;
};

Mix budapestMix();
Mix dakarMix();

// One arrival. `request.prompt` is shared by no other object.
struct Arrival {
  InferenceRequest request;
  uint32_t kind = 0;  // in Mix::kinds
  uint32_t node = 0;  // the node that the caller has reached
  uint32_t output_tokens = 1;
};

// Poisson arrivals at `rate` a second for `length`, from a seed, in order of time from absl::UnixEpoch().
std::vector<Arrival> makeTrace(const Mix& mix, double rate, absl::Duration length, uint64_t seed);

}  // namespace quincewick::ablation
