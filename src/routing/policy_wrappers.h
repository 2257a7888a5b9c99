// Policies made of policies: to try a placement policy on a share of the traffic, or beside the one in use.
#pragma once

#include <cstdint>
#include <memory>

#include "routing/placement_policy.h"

namespace quincewick::routing {

// Lets one policy place a sticky share of the tenants and another the rest.
class SplitPolicy final : public PlacementPolicy {
 public:
  // `percentage` (0 to 100) of the tenants are placed by `share`.
  SplitPolicy(std::unique_ptr<PlacementPolicy> share, std::unique_ptr<PlacementPolicy> rest,
              uint32_t percentage)
      : share_(std::move(share)), rest_(std::move(rest)), percentage_(percentage) {}

  EngineChoice choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) override;

 private:
  std::unique_ptr<PlacementPolicy> share_;
  std::unique_ptr<PlacementPolicy> rest_;
  uint32_t percentage_;
};

// Places by one policy and counts how often another would have placed alike.
class ShadowPolicy final : public PlacementPolicy {
 public:
  ShadowPolicy(std::unique_ptr<PlacementPolicy> used, std::unique_ptr<PlacementPolicy> shadow)
      : used_(std::move(used)), shadow_(std::move(shadow)) {}

  EngineChoice choose(const PlacementQuery& query, absl::Time now, absl::BitGenRef random) override;

  uint64_t choices() const { return choices_; }
  uint64_t agreements() const { return agreements_; }

 private:
  std::unique_ptr<PlacementPolicy> used_;
  std::unique_ptr<PlacementPolicy> shadow_;
  uint64_t choices_ = 0;
  uint64_t agreements_ = 0;
};

}  // namespace quincewick::routing
