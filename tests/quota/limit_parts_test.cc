// The parts of a limit: what all gateways together may grant in a window whatever happens to them.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "quota_site.h"

namespace quincewick::quota {
namespace {

const LimitTolerance kTolerance{absl::Seconds(8), 0.1, 110'000};
const RateLimit kSmall{LimitUnit::kTokens, 29'000, 29'000, 200};
const RateLimit kLarge{LimitUnit::kTokens, 614'000, 614'000, 200};

Site makeSite(size_t count, const RateLimit& limit, double loss, uint64_t seed, double largest = 14'000) {
  return {count, limit, kTolerance, loss, seed, [largest](Site& site) {
            return site.uniform(0, 1) < 0.35 ? site.uniform(4'000, largest) : site.uniform(500, 1'500);
          }};
}

void partition(Site& site, size_t index, absl::Duration duration = kPartitionDuration) {
  site.gateway(index).partitioned_until = site.now() + duration;
}

// Guards against a limit granted once by each side of a partition: two of 8 gateways cut off together passed
// it by 15 %, and callers who crowd at one that is cut off pass it at any site.
TEST_CASE("several gateways partitioned at once keep to the limit, with callers crowding at one of them") {
  for (const size_t partitioned : {2, 3, 5}) {
    for (const size_t gateways : {8, 12, 30, 79}) {
      Site site = makeSite(gateways, kLarge, 0, partitioned);
      run(site, absl::Seconds(10), kLarge.per_second / 1.8);
      run(site, absl::Seconds(1), kLarge.per_second * 7.5 / 1.8);
      const size_t owner = site.owner();
      for (size_t number = 0; number < partitioned; ++number) {
        partition(site, (owner + number) % gateways);
      }
      site.crowdAt(owner, 0.5);
      run(site, absl::Seconds(8), kLarge.per_second * 7.5 / 1.8);
      CAPTURE(partitioned, gateways);
      CHECK(site.maxWindowUsage() <= 1);
    }
  }
}

TEST_CASE("a partitioned holder grants no more than its part") {
  Site site = makeSite(8, kLarge, 0, 1);
  run(site, absl::Seconds(10), kLarge.per_second / 1.8);
  for (size_t index = 0; index < site.size(); ++index) {
    partition(site, index, absl::Seconds(60));
  }
  site.crowdAt(site.owner(), 1);
  const absl::Time from = site.now();
  run(site, absl::Seconds(8), kLarge.per_second * 7.5 / 1.8);
  CHECK(site.grantedSince(from) > 0);
  const double whole = 8 * kLarge.per_second + kLarge.burst + kTolerance.amountFor(kLarge);
  CHECK(site.grantedSince(from) <= whole / 5);
}

TEST_CASE("a gateway that reaches no holder denies at once that the limit is available") {
  SharedQuotas quotas(NodeId("self"), kTolerance, [](const LimitName&) { return &kLarge; });
  std::vector<routing::KeeperMember> members;
  for (int number = 0; number < 79; ++number) {
    members.push_back({NodeId(absl::StrCat("g", number)), 1});
  }
  quotas.setMembers(members);
  const absl::Time now = absl::FromUnixSeconds(1000);
  quotas.onHeartbeat(true, now);
  QuotaActions actions;
  quotas.requestGrant(kName, 1000, now, actions);
  REQUIRE(actions.decisions.size() == 1);
  CHECK(actions.messages.empty());
  CHECK_FALSE(actions.decisions.front().verdict.is_granted);
  CHECK(actions.decisions.front().is_unavailable);
}

// A late grant would add to what the holder grants when the requester at last starts the work.
TEST_CASE("a grant that arrives after its deadline is not used") {
  SharedQuotas quotas(NodeId("self"), kTolerance, [](const LimitName&) { return &kLarge; });
  quotas.setMembers({{NodeId("holder"), 1}, {NodeId("self"), 1}});
  absl::Time now = absl::FromUnixSeconds(1000);
  quotas.onHeartbeat(false, now);
  QuotaActions actions;
  while (actions.messages.empty()) {
    quotas.requestGrant(kName, 1000, now, actions);
  }
  const size_t decided = actions.decisions.size();
  const QuotaMessage request = actions.messages.back().message;
  now += absl::Seconds(3);  // the process stood still
  quotas.onMessage(NodeId("holder"), {QuotaMessageKind::kGrant, request.number, kName, 0, true, {}}, now,
                   actions);
  CHECK(actions.decisions.size() == decided);
}

TEST_CASE("a request above a part's capacity is granted by all holders together, and refunded to all") {
  Site site = makeSite(12, kSmall, 0, 3, 60'000);
  run(site, absl::Seconds(60), kSmall.per_second / 4);
  CHECK(site.denied <= site.requests / 4);
  run(site, absl::Seconds(30), kSmall.per_second * 7.5);
  CHECK(site.maxWindowUsage() <= 1);
}

TEST_CASE("with holders down the others' parts stay available") {
  Site site = makeSite(79, kLarge, 0, 6);
  run(site, absl::Seconds(10), kLarge.per_second / 1.8);
  routing::KeeperRanks ranks;
  ranks.setMembers(site.members());
  for (const NodeId& holder : ranks.spreadOverZones(kName.value(), 2)) {
    site.stop(std::stoul(holder.value().substr(1)));
  }
  run(site, absl::Seconds(2), kLarge.per_second * 2);
  const absl::Time from = site.now();
  run(site, absl::Seconds(10), kLarge.per_second * 2);
  CHECK(site.grantedSince(from) >= 0.97 * 0.6 * 10 * kLarge.per_second);
}

// The part of a holder that a new gateway replaces was granted by the old one until all know of the change.
TEST_CASE("gateways that join don't cause a part to be granted twice") {
  for (const uint64_t seed : {1, 2, 3, 4}) {
    Site site = makeSite(6, kLarge, 0, seed);
    run(site, absl::Seconds(10), kLarge.per_second * 7.5 / 1.8);
    for (int joined = 0; joined < 12; ++joined) {
      site.add();
      run(site, absl::Seconds(1), kLarge.per_second * 7.5 / 1.8);
    }
    CAPTURE(seed);
    CHECK(site.maxWindowUsage() <= 1);
  }
}

TEST_CASE("a gateway that becomes a holder because another is removed waits until all know of it") {
  SharedQuotas quotas(NodeId("self"), kTolerance, [](const LimitName&) { return &kLarge; });
  std::vector<routing::KeeperMember> members = {{NodeId("self"), 1}};
  for (int number = 0; number < 79; ++number) {
    members.push_back({NodeId(absl::StrCat("g", number)), 1});
  }
  absl::Time now = absl::FromUnixSeconds(1000);
  quotas.setMembers(members);
  quotas.onHeartbeat(false, now);
  now += absl::Minutes(1);
  members = {{NodeId("self"), 1}};
  quotas.setMembers(members);
  const auto granted = [&] {
    quotas.onHeartbeat(false, now);
    QuotaActions actions;
    quotas.requestGrant(kName, 1000, now, actions);
    CHECK(actions.decisions.front().is_unavailable != actions.decisions.front().verdict.is_granted);
    return actions.decisions.front().verdict.is_granted;
  };
  CHECK_FALSE(granted());
  now += absl::Seconds(7);
  CHECK_FALSE(granted());
  now += absl::Seconds(2);
  CHECK(granted());
}

constexpr int kCrowd = static_cast<int>(Fault::kNothing);  // drawn in its place

// Several faults a second, most of them at the gateways that hold the limit's parts.
TEST_CASE("no window passes a limit when faults come together and callers crowd") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const RateLimit limit = *rc::gen::element(kSmall, kLarge);
    Site site = makeSite(*rc::gen::inRange<size_t>(2, 40), limit, *rc::gen::element(0.0, 0.025, 0.2), seed);
    const size_t owner = site.owner();
    for (int second = 0; second < 24; ++second) {
      for (int number = *rc::gen::inRange(0, 4); number > 0; --number) {
        const size_t any = *rc::gen::inRange<size_t>(0, site.size());
        const size_t index = *rc::gen::inRange(0, 2) == 0 ? owner : any;
        const int fault = *rc::gen::inRange(0, 8);
        if (fault == kCrowd) {
          site.crowdAt(index, site.uniform(0, 1));
        } else {
          apply(site, static_cast<Fault>(fault), index);
        }
      }
      run(site, absl::Seconds(1), *rc::gen::element(0.55, 2.0, 4.2) * limit.per_second);
    }
    RC_ASSERT(site.maxWindowUsage() <= 1.0);
  }));
}

}  // namespace
}  // namespace quincewick::quota
