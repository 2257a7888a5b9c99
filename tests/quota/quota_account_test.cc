#include "quota/quota_account.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace quincewick::quota {
namespace {

constexpr double kPerSecond = 1000;
const RateLimit kLimit{LimitUnit::kTokens, kPerSecond, 500, 1};
// A window allows 8,500 tokens. The tolerance is 850 + 1,150 = 2,000, half of it 1,000.
const LimitTolerance kTolerance{absl::Seconds(8), 0.1, 1150};

double takeAll(QuotaAccount& account, absl::Time now,
               const OwnerAllowance& allowance = OwnerAllowance::full()) {
  double taken = 0;
  while (account.tryConsume(10, kLimit, kTolerance, allowance, now).is_granted) {
    taken += 10;
  }
  return taken;
}

const OwnerAllowance kRejoined = {1, false};

TEST_CASE("a holder that granted nothing lately starts with a full bucket") {
  QuotaAccount account;
  CHECK(takeAll(account, absl::UnixEpoch()) == Approx(1500).margin(10));
}

TEST_CASE("a holder that may have granted before its start begins with an eighth of the tolerance") {
  QuotaAccount account;
  CHECK(takeAll(account, absl::UnixEpoch(), kRejoined) == Approx(250).margin(10));
}

TEST_CASE("a part of a limit has its fraction of the rate, the burst and the tolerance") {
  QuotaAccount account;
  CHECK(takeAll(account, absl::UnixEpoch(), {0.2, true}) == Approx(300).margin(10));
  CHECK(takeAll(account, absl::UnixEpoch() + absl::Seconds(1), {0.2, true}) == Approx(200).margin(10));
  QuotaAccount rejoined;
  CHECK(takeAll(rejoined, absl::UnixEpoch(), {0.2, false}) == Approx(50).margin(10));
}

double takeAfterAnIdleTime(const OwnerAllowance& allowance, absl::Duration idle) {
  QuotaAccount account;
  absl::Time now = absl::UnixEpoch();
  for (int step = 0; step < 100; ++step) {
    account.tryConsume(1, kLimit, kTolerance, allowance, now);
    now += absl::Milliseconds(100);
  }
  return takeAll(account, now + idle, allowance);
}

TEST_CASE("an account with continuous requests accumulates the burst and half of the tolerance") {
  CHECK(takeAfterAnIdleTime(OwnerAllowance::full(), absl::ZeroDuration()) == Approx(1500).margin(10));
  CHECK(takeAfterAnIdleTime(kRejoined, absl::ZeroDuration()) == Approx(250).margin(10));
}

TEST_CASE("an account that may not accumulate has no more than its initial balance after any time") {
  CHECK(takeAfterAnIdleTime(kRejoined, absl::Seconds(30)) == Approx(250).margin(10));
  CHECK(takeAfterAnIdleTime(OwnerAllowance::full(), absl::Seconds(30)) == Approx(1500).margin(10));
}

TEST_CASE("a denial tells when the amount is available, after all earlier denied requests") {
  QuotaAccount account;
  const absl::Time now = absl::UnixEpoch();
  takeAll(account, now);
  const QuotaVerdict first = account.tryConsume(100, kLimit, kTolerance, OwnerAllowance::full(), now);
  const QuotaVerdict second = account.tryConsume(100, kLimit, kTolerance, OwnerAllowance::full(), now);
  CHECK_FALSE(first.is_granted);
  CHECK(first.retry_after > absl::Milliseconds(80));
  CHECK(first.retry_after < absl::Milliseconds(120));
  CHECK(second.retry_after - first.retry_after >= absl::Milliseconds(80));
  CHECK(account.tryConsume(100, kLimit, kTolerance, OwnerAllowance::full(), now + first.retry_after)
            .is_granted);
}

TEST_CASE("a request above the bucket's capacity is granted on credit, and later ones wait") {
  QuotaAccount account;
  const absl::Time now = absl::UnixEpoch();
  CHECK(account.tryConsume(5000, kLimit, kTolerance, OwnerAllowance::full(), now).is_granted);
  const QuotaVerdict next = account.tryConsume(100, kLimit, kTolerance, OwnerAllowance::full(), now);
  CHECK_FALSE(next.is_granted);
  CHECK(next.retry_after == absl::Milliseconds(3600));
}

TEST_CASE("a refund is available at once") {
  QuotaAccount account;
  const absl::Time now = absl::UnixEpoch();
  takeAll(account, now);
  account.refund(200);
  CHECK(takeAll(account, now) == Approx(200).margin(10));
}

TEST_CASE("a lowered limit applies from the next request on") {
  QuotaAccount account;
  absl::Time now = absl::UnixEpoch();
  for (int step = 0; step < 100; ++step) {
    account.tryConsume(1, kLimit, kTolerance, OwnerAllowance::full(), now);
    now += absl::Milliseconds(100);
  }
  const RateLimit lowered{LimitUnit::kTokens, 10, 5, 1};
  const LimitTolerance none{absl::Seconds(8), 0.1, 0};
  CHECK(account.tryConsume(100, lowered, none, OwnerAllowance::full(), now).is_granted);  // on credit, once
  CHECK_FALSE(account.tryConsume(1, lowered, none, OwnerAllowance::full(), now).is_granted);
}

TEST_CASE(
    "one owner's grants exceed a limit in no window by more than half of the tolerance and one request") {
  CHECK(rc::check([] {
    QuotaAccount account;
    absl::Time now = absl::UnixEpoch();
    std::vector<std::pair<absl::Time, double>> granted;
    double largest = 0;
    for (int step = 0; step < 2000; ++step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 30));
      const double cost = *rc::gen::inRange(1, 400);
      if (account.tryConsume(cost, kLimit, kTolerance, OwnerAllowance::full(), now).is_granted) {
        granted.emplace_back(now, cost);
        largest = std::max(largest, cost);
      }
    }
    double sum = 0;
    size_t oldest = 0;
    for (const auto& [time, cost] : granted) {
      sum += cost;
      while (time - granted[oldest].first > kTolerance.window) {
        sum -= granted[oldest++].second;
      }
      RC_ASSERT(sum <= 8 * kPerSecond + kLimit.burst + 1000 + largest);
    }
  }));
}

}  // namespace
}  // namespace quincewick::quota
