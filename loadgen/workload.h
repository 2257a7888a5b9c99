// What a workload file says: tenants, kinds of requests and the trees of prompt beginnings they read.
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "types/error.h"
#include "types/identifiers.h"
#include "types/urgency.h"

namespace quincewick::loadgen {

// What the callers' interface does with requests of a kind.
enum class KindType : uint8_t {
  kInference,  // a streamed answer of a model
  kAction,     // an action that may not be repeated; carries an idempotency key
  kLookup,     // an action that may be repeated
};

// Which path of the callers' interface an inference request takes.
enum class Endpoint : uint8_t { kCompletions, kChat };

// Both ends are included.
struct Range {
  uint32_t minimum = 0;
  uint32_t maximum = 0;
};

// One level of a tree: how many nodes hang below each node above, and how long each one's text is.
struct TreeLevel {
  uint32_t branching = 1;
  uint32_t blocks = 1;         // length of each node's text, in blocks
  double zipf_exponent = 0.0;  // 0: all children are as popular; about 1: a few take most requests
};

// Nested beginnings: a prompt is the text along one path from the root. Each tenant has a tree of its own.
struct PrefixTree {
  std::string name;
  std::vector<TreeLevel> levels;
};

struct TenantSpecification {
  TenantId id;
  double weight = 1.0;
  std::string key;  // the caller's key
};

struct KindSpecification {
  RequestKind name;
  KindType type = KindType::kInference;
  double weight = 1.0;
  // Of inference only:
  ModelName model;
  AdapterName adapter;
  Endpoint endpoint = Endpoint::kCompletions;
  Urgency urgency = Urgency::kStandard;
  size_t tree = 0;                                          // index into Workload::trees
  uint32_t depth = 0;                                       // levels of the tree that a prompt reads
  Range unique_characters = {0, 0};                         // the prompt's own end
  Range output_tokens = {1, 1};                             // maximum_output_tokens of the request
  absl::Duration deadline = absl::InfiniteDuration();       // for the first token
  absl::Duration give_up_after = absl::InfiniteDuration();  // the caller goes away; from the intended time
  // Of actions only:
  double repeat_share = 0.0;  // share of requests that repeat a recent one under its key
};

// A slow wave on the arrival rate: rate x (1 + amplitude x sin(2 pi t / period)).
struct RateWave {
  double amplitude = 0.0;  // 0 to below 1
  absl::Duration period = absl::Minutes(1);
};

struct Workload {
  std::string name;
  uint32_t block_size = 4096;                           // characters
  absl::Duration hot_shift = absl::InfiniteDuration();  // after this time other branches are the popular ones
  RateWave wave;
  std::vector<TenantSpecification> tenants;
  std::vector<PrefixTree> trees;
  std::vector<KindSpecification> kinds;
};

// Reads a workload from YAML text. `file_name` is for messages only. The whole text is checked: unknown keys,
// missing ones, wrong types and values out of bounds are kInvalidArgument with file, line and column.
Result<Workload> parseWorkload(std::string_view text, std::string_view file_name);

// As above from a file; kNotFound if it can't be read.
Result<Workload> readWorkloadFile(const std::string& path);

}  // namespace quincewick::loadgen
