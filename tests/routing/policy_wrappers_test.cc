#include "routing/policy_wrappers.h"

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <random>

namespace quincewick::routing {
namespace {

// Always the engine at one place of the pool.
class Fixed final : public PlacementPolicy {
 public:
  explicit Fixed(size_t place) : place_(place) {}
  EngineChoice choose(const PlacementQuery& query, absl::Time /*now*/, absl::BitGenRef /*random*/) override {
    EngineChoice choice;
    choice.chosen.engine = query.pool.engines[place_];
    return choice;
  }

 private:
  size_t place_;
};

EngineNumber place(PlacementPolicy& policy, const std::string& tenant) {
  EnginePool pool;
  pool.engines = {EngineNumber{4}, EngineNumber{7}};
  InferenceRequest request;
  request.tenant = TenantId(tenant);
  std::mt19937 random(1);
  return policy.choose(PlacementQuery{request, Urgency::kUrgent, pool}, absl::UnixEpoch(), random)
      .chosen.engine;
}

TEST_CASE("a split keeps each tenant on one side and gives the share its part") {
  SplitPolicy split(std::make_unique<Fixed>(0), std::make_unique<Fixed>(1), 25);
  int in_share = 0;
  for (int tenant = 0; tenant < 1000; ++tenant) {
    const EngineNumber first = place(split, absl::StrCat("t", tenant));
    REQUIRE(place(split, absl::StrCat("t", tenant)) == first);
    in_share += first == EngineNumber{4} ? 1 : 0;
  }
  CHECK(in_share > 200);
  CHECK(in_share < 300);
}

TEST_CASE("a shadow never places, and agreement is counted") {
  ShadowPolicy different(std::make_unique<Fixed>(0), std::make_unique<Fixed>(1));
  CHECK(place(different, "t") == EngineNumber{4});
  CHECK(different.choices() == 1);
  CHECK(different.agreements() == 0);
  ShadowPolicy same(std::make_unique<Fixed>(1), std::make_unique<Fixed>(1));
  CHECK(place(same, "t") == EngineNumber{7});
  CHECK(same.agreements() == 1);
}

}  // namespace
}  // namespace quincewick::routing
