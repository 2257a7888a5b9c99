// Tenants' limits on a site of gateways in virtual time.
#include "quota/shared_quotas.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "quota_site.h"

namespace quincewick::quota {
namespace {

const LimitTolerance kTolerance{absl::Seconds(8), 0.1, 110'000};
const RateLimit kSmall{LimitUnit::kTokens, 29'000, 29'000, 200};
const RateLimit kLarge{LimitUnit::kTokens, 614'000, 614'000, 200};

// A tenant's site; 35 % of its requests are long.
Site makeSite(size_t count, const RateLimit& limit, double loss, uint64_t seed) {
  return {count, limit, kTolerance, loss, seed, [](Site& site) {
            return site.uniform(0, 1) < 0.35 ? site.uniform(4'000, 14'000) : site.uniform(500, 1'500);
          }};
}

// Guards against parallel stand-ins that each grant a whole stand-in's fraction. One tenant sent many times
// its limit, its owner was a small machine, and some gateways got no timely response from it, others none
// from the next in rank either: 7,316,841 tokens ran in a window that allowed 7,171,700.
TEST_CASE("gateways that stand in for an owner at the same time keep to the tolerance together") {
  const RateLimit limit{LimitUnit::kTokens, 713'000, 713'000, 200};
  std::vector<routing::KeeperMember> members;
  std::map<NodeId, std::unique_ptr<SharedQuotas>> gateways;
  for (int number = 0; number < 12; ++number) {
    members.push_back({NodeId(absl::StrCat("g-", number)), 1});
  }
  absl::Time now = absl::FromUnixSeconds(1000);
  for (const auto& member : members) {
    gateways[member.id] =
        std::make_unique<SharedQuotas>(member.id, kTolerance, [&limit](const LimitName&) { return &limit; });
    gateways[member.id]->setMembers(members);
  }
  double granted = 0;
  for (int step = 0; step < 2000; ++step, now += absl::Milliseconds(5)) {
    const bool is_in_window = step >= 2000 - 1600;
    for (auto& [id, quotas] : gateways) {
      quotas->onHeartbeat(false, now);
      QuotaActions actions;
      // Not the requester's first candidate: each gateway assumes that the ones before it are unreachable.
      quotas->onMessage(NodeId("asker"), {QuotaMessageKind::kRequestGrant, 1, kName, 3000, false, {}}, now,
                        actions);
      for (const auto& outgoing : actions.messages) {
        granted += is_in_window && outgoing.message.kind == QuotaMessageKind::kGrant ? 3000 : 0;
      }
    }
  }
  const double allowed = limit.per_second * 8 + limit.burst;
  CHECK(granted <= allowed + kTolerance.amountFor(limit));
}

TEST_CASE("a tenant within its limit gets almost no denials, small or large") {
  for (const RateLimit& limit : {kSmall, kLarge}) {
    Site site = makeSite(79, limit, 0, 1);
    run(site, absl::Seconds(30), limit.per_second / 1.8);
    CAPTURE(limit.per_second);
    CHECK(site.denied <= site.requests / 200);
  }
}

TEST_CASE("a tenant far above its limit gets the limit, hardly less and never more") {
  for (const RateLimit& limit : {kSmall, kLarge}) {
    Site site = makeSite(79, limit, 0, 2);
    run(site, absl::Seconds(10), limit.per_second / 1.8);
    const absl::Time from = site.now();
    run(site, absl::Seconds(20), limit.per_second * 7.5 / 1.8);
    CAPTURE(limit.per_second);
    CHECK(site.maxWindowUsage() <= 1);
    CHECK(site.grantedSince(from) >= 0.97 * 20 * limit.per_second);
  }
}

TEST_CASE("the crash of a tenant's owner causes few denials and no double grants") {
  for (const RateLimit& limit : {kSmall, kLarge}) {
    Site site = makeSite(79, limit, 0, 3);
    run(site, absl::Seconds(10), limit.per_second / 1.8);
    site.stop(site.owner());
    run(site, absl::Seconds(10), limit.per_second / 1.8);
    CAPTURE(limit.per_second);
    CHECK(site.denied <= site.requests / 50);
    run(site, absl::Seconds(10), limit.per_second * 7.5 / 1.8);
    CHECK(site.maxWindowUsage() <= 1);
  }
}

TEST_CASE("an owner that only some gateways reach doesn't cause the limit to be granted twice") {
  Site site = makeSite(79, kLarge, 0, 4);
  run(site, absl::Seconds(5), kLarge.per_second * 7.5 / 1.8);
  site.gateway(site.owner()).delay = absl::Milliseconds(38);  // about half of its responses come too late
  run(site, absl::Seconds(20), kLarge.per_second * 7.5 / 1.8);
  CHECK(site.maxWindowUsage() <= 1);
}

// Guards against exceeding a limit while its owner changes: a partitioned owner grants the whole limit until
// it notices, then an even share from a full bucket, and the next in rank grants the whole limit to the
// others.
TEST_CASE("a partitioned owner and its successor keep to the limit together") {
  for (const uint64_t seed : {1, 2, 3}) {
    Site site = makeSite(8, kLarge, 0, seed);
    run(site, absl::Seconds(10), kLarge.per_second / 1.8);
    run(site, absl::Seconds(1), kLarge.per_second * 7.5 / 1.8);
    site.gateway(site.owner()).partitioned_until = site.now() + kPartitionDuration;
    run(site, absl::Seconds(8), kLarge.per_second * 7.5 / 1.8);
    CAPTURE(seed);
    CHECK(site.maxWindowUsage() <= 1);
  }
}

TEST_CASE("a lowered limit applies after one window") {
  Site site = makeSite(79, kLarge, 0, 5);
  run(site, absl::Seconds(10), kLarge.per_second / 1.8);
  site.setLimit(kSmall);
  run(site, absl::Seconds(1), kLarge.per_second / 1.8);
  const absl::Time from = site.now();
  run(site, absl::Seconds(8), kLarge.per_second / 1.8);
  CHECK(site.grantedSince(from) <= 8 * kSmall.per_second + kSmall.burst + kTolerance.amountFor(kSmall));
}

TEST_CASE("no window passes a limit whatever gateways die, freeze, slow down or are cut off") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const RateLimit limit = *rc::gen::element(kSmall, kLarge);
    Site site = makeSite(*rc::gen::inRange<size_t>(8, 80), limit, *rc::gen::element(0.0, 0.025), seed);
    const double calm = limit.per_second / 1.8;
    for (int second = 0; second < 24; ++second) {
      const int fault = *rc::gen::inRange(0, 8);
      const size_t index = *rc::gen::inRange(0, 3) == 0 ? site.owner() : seed % site.size();
      if (fault == 0) {
        site.stop(index);
      } else if (fault == 1 && !site.gateway(index).is_up) {
        site.start(index);
      } else if (fault == 2) {
        site.gateway(index).frozen_until = site.now() + absl::Seconds(3);
      } else if (fault == 3) {
        site.gateway(index).partitioned_until = site.now() + kPartitionDuration;
      } else if (fault == 4) {
        site.gateway(index).delay = absl::Milliseconds(site.uniform(0, 60));
      }
      run(site, absl::Seconds(1), *rc::gen::element(calm, calm * 3.5, calm * 7.5));
    }
    RC_ASSERT(site.maxWindowUsage() <= 1.0);
  }));
}

}  // namespace
}  // namespace quincewick::quota
