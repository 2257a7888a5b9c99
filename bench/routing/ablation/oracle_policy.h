// An upper bound to compare with: places by the true caches and all work in flight.
#pragma once

#include <absl/functional/function_ref.h>

#include <functional>

#include "routing/placement_policy.h"
#include "routing/prefix_affinity.h"

namespace quincewick::ablation {

// The leading blocks of the prompt that the engine holds, or will have computed once its queue is done.
using HeldBlocks = std::function<uint32_t(routing::EngineNumber, const PrefixChain&)>;

class OraclePolicy final : public routing::PlacementPolicy {
 public:
  OraclePolicy(const routing::EngineDirectory& directory, HeldBlocks held,
               const routing::PrefixAffinitySettings& settings)
      : directory_(directory), held_(std::move(held)), settings_(settings) {}

  routing::EngineChoice choose(const routing::PlacementQuery& query, absl::Time now,
                               absl::BitGenRef random) override;

 private:
  const routing::EngineDirectory& directory_;
  HeldBlocks held_;
  routing::PrefixAffinitySettings settings_;
};

}  // namespace quincewick::ablation
