// The one question of placement, and the interface of all policies that answer it. Policies may wrap
// policies.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "routing/engine_directory.h"
#include "types/inference_request.h"

namespace quincewick::routing {

// Blocks that another engine holds and that are cheaper to move than to compute.
struct ImportPlan {
  EngineNumber source{};
  uint32_t first_block = 0;  // in the request's chain
  uint32_t block_count = 0;
};

// One engine that was weighed.
struct ScoredEngine {
  EngineNumber engine{};
  absl::Duration expected_first_token;
  uint32_t expected_cached_blocks = 0;
};

// Where a request should go.
struct EngineChoice {
  ScoredEngine chosen;
  std::vector<ScoredEngine> alternatives;  // the best first; not always all that were weighed
  std::optional<ImportPlan> import;
};

struct PlacementQuery {
  const InferenceRequest& request;
  Urgency urgency = Urgency::kStandard;
  const EnginePool& pool;               // the engines to choose from; not empty
  const EnginePool* farther = nullptr;  // engines to spill over to, or null
};

// Chooses an engine. Implementations keep their own state; what they are told of engines comes through the
// EngineDirectory and the PrefixIndex they were made with.
class PlacementPolicy {
 public:
  PlacementPolicy() = default;
  PlacementPolicy(const PlacementPolicy&) = delete;
  PlacementPolicy& operator=(const PlacementPolicy&) = delete;
  virtual ~PlacementPolicy() = default;

  // `query.pool` has at least one engine. The chosen one is in `query.pool` or `*query.farther`.
  virtual EngineChoice choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) = 0;
};

}  // namespace quincewick::routing
