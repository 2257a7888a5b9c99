// The policy in use: sends a request where its first token is expected soonest and little is computed again.
//
// 1. The trunk of a prompt is the shallowest block whose share of the recent traffic fits into one engine,
// but
//    not deeper than other requests went. All requests through a trunk belong together.
// 2. Candidates are the engines believed to hold the prompt's beginning, the trunk's first engines by
//    rendezvous hashing (more of them the more of the traffic it draws), and a few at random.
// 3. The candidate with the least cost is chosen: expected wait + uncached tokens x prefill cost x the weight
//    of recomputation. The weight is over 1 since what is computed again delays others and evicts their
//    blocks.
// 4. Where the nearer engines all cost more than the spill threshold, farther ones are weighed too.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "prefix/prefix_index.h"
#include "routing/placement_policy.h"
#include "routing/rendezvous.h"

namespace quincewick::routing {

struct PrefixAffinitySettings {
  uint32_t hash_candidates = 2;   // engines of a trunk by rendezvous hashing, at least
  uint32_t maximum_replicas = 8;  // and at most
  uint32_t maximum_holders = 8;   // engines weighed since they hold most of the prompt
  uint32_t random_candidates = 4;
  double engine_share = 2.0;     // of an average engine's work that one trunk may bring
  float shared_requests = 1.0F;  // recent requests through a block that make it shared
  double doubtful_weight = 0.5;  // of doubtful blocks, against certain ones
  std::array<double, kAllUrgencies.size()> recompute_weight = {8.0, 8.0, 8.0};  // by urgency
  absl::Duration home_bonus = absl::Milliseconds(5);  // for the first engine by hashing
  absl::Duration spill_threshold = absl::Milliseconds(500);
  bool import = false;                                      // whether KV blocks may be moved
  absl::Duration import_per_block = absl::Milliseconds(8);  // export and import together
};

class PrefixAffinity final : public PlacementPolicy {
 public:
  PrefixAffinity(const EngineDirectory& directory, prefix::PrefixIndex& index,
                 const PrefixAffinitySettings& settings)
      : directory_(directory), index_(index), settings_(settings) {}

  EngineChoice choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) override;

 private:
  struct Trunk {
    uint64_t key = 0;
    uint32_t replicas = 1;
  };
  struct Candidate {
    EngineNumber engine{};
    double cached_blocks = 0;
    double first_token_seconds = 0;
    double cost = 0;  // seconds
  };

  Trunk trunkOf(const PlacementQuery& query, const prefix::PrefixView& view) const;
  std::vector<EngineNumber> longestHolders(const EnginePool& pool, const prefix::PrefixView& view) const;
  std::vector<EngineNumber> candidates(const EnginePool& pool, const Trunk& trunk,
                                       const prefix::PrefixView& view, absl::BitGenRef random);
  static ScoredEngine scored(const Candidate& candidate);
  Candidate weigh(const PlacementQuery& query, EngineNumber engine, const prefix::PrefixView& view,
                  absl::Time now) const;
  void weighPool(const PlacementQuery& query, const EnginePool& pool, const prefix::PrefixView& view,
                 absl::Time now, absl::BitGenRef random, std::vector<Candidate>& weighed);
  std::optional<ImportPlan> importPlan(const PlacementQuery& query, const ScoredEngine& chosen,
                                       const prefix::PrefixView& view) const;

  const EngineDirectory& directory_;
  prefix::PrefixIndex& index_;
  PrefixAffinitySettings settings_;
  RankCache ranks_;
};

}  // namespace quincewick::routing
