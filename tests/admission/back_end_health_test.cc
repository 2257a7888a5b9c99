// Retry budget, circuit breaker, outlier detector and hedge policy.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>

#include "admission/circuit_breaker.h"
#include "admission/hedge_policy.h"
#include "admission/outlier_detector.h"
#include "admission/retry_budget.h"

namespace quincewick::admission {
namespace {

using absl::Milliseconds;
using absl::Seconds;

TEST_CASE("retries within any window stay within the ratio") {
  rc::prop("sliding window against a list of all events", [] {
    const RetryBudgetConfiguration configuration{0.2, 0.5, Seconds(10)};
    RetryBudget budget(configuration);
    absl::Time now = absl::UnixEpoch() + Seconds(100);
    std::vector<absl::Time> requests;
    std::vector<absl::Time> retries;
    const auto lately = [&](const std::vector<absl::Time>& times, absl::Duration window) {
      return std::count_if(times.begin(), times.end(), [&](absl::Time time) { return now - time <= window; });
    };
    for (int step = 0; step < 300; ++step) {
      now += Milliseconds(*rc::gen::inRange(0, 300));
      if (*rc::gen::arbitrary<bool>()) {
        requests.push_back(now);
        budget.recordRequest(now);
      } else if (budget.trySpend(now)) {
        retries.push_back(now);
        const double allowed = std::max(5.0, 0.2 * static_cast<double>(lately(requests, Seconds(10))));
        RC_ASSERT(static_cast<double>(lately(retries, Seconds(9))) <= allowed);
      }
    }
  });
}

TEST_CASE("a circuit opens after failures in a row, and closes only after successful trials") {
  const CircuitBreakerConfiguration configuration;
  CircuitBreaker breaker(configuration);
  absl::Time now = absl::UnixEpoch();
  for (uint32_t failure = 0; failure < configuration.failures_to_open; ++failure) {
    CHECK(breaker.tryAdmit(now));
    breaker.recordFailure(now);
  }
  CHECK(breaker.state(now) == CircuitState::kOpen);
  CHECK_FALSE(breaker.tryAdmit(now));
  now += configuration.open_time;
  CHECK(breaker.tryAdmit(now));
  breaker.recordFailure(now);
  CHECK_FALSE(breaker.tryAdmit(now + configuration.open_time));  // the time has doubled
  now += 2 * configuration.open_time;
  CHECK(breaker.tryAdmit(now));
  CHECK(breaker.tryAdmit(now));
  CHECK_FALSE(breaker.tryAdmit(now));  // no more than the trials at once
  breaker.recordSuccess(now);
  CHECK(breaker.state(now) == CircuitState::kHalfOpen);
  breaker.recordSuccess(now);
  CHECK(breaker.state(now) == CircuitState::kClosed);
}

TEST_CASE("no more than the configured share is ejected, and back ends come back by probes") {
  rc::prop("random outcomes at random back ends", [] {
    OutlierConfiguration configuration;
    configuration.least_requests = 3;
    OutlierDetector detector(configuration);
    const size_t size = *rc::gen::inRange<size_t>(1, 12);
    std::vector<BackEndId> group;
    for (size_t index = 0; index < size; ++index) {
      group.push_back(BackEndId("engine-" + std::to_string(index)));
    }
    detector.setGroup(group);
    const size_t allowed =
        size < 2 ? 0 : std::max<size_t>(1, static_cast<size_t>(configuration.largest_ejected_share * size));
    absl::Time now = absl::UnixEpoch();
    const auto bad_from = *rc::gen::inRange<size_t>(0, size);
    const auto run = [&](int steps, bool heal) {
      for (int step = 0; step < steps; ++step) {
        now += Milliseconds(20);
        const size_t index = static_cast<size_t>(step) % size;
        if (!detector.accepts(group[index], now)) {
          continue;
        }
        detector.probeSent(group[index], now);
        const bool fails = !heal && index >= bad_from;
        detector.record(group[index], fails ? std::nullopt : std::optional<absl::Duration>(Milliseconds(50)),
                        now);
        RC_ASSERT(detector.ejected() <= allowed);
      }
    };
    run(1000, false);
    if (size >= 2 && bad_from > size / 2) {
      RC_ASSERT(detector.ejected() >= 1U);
    }
    now += configuration.longest_ejection_time;
    run(static_cast<int>(size) * 20, true);
    RC_ASSERT(detector.ejected() == 0U);
  });
}

TEST_CASE("only late, urgent and repeatable requests are hedged, within the budget") {
  HedgePolicy policy(HedgeConfiguration{});
  absl::Time now = absl::UnixEpoch();
  const RequestKind kind("hint");
  const HedgeCandidate urgent{kind, Urgency::kUrgent, true};
  CHECK_FALSE(policy.onSent(urgent, now).has_value());
  for (int sample = 1; sample <= 1000; ++sample) {
    policy.onFirstToken(kind, Milliseconds(100 + sample % 100));
  }
  const std::optional<absl::Duration> delay = policy.onSent(urgent, now);
  REQUIRE(delay.has_value());
  CHECK(*delay >= Milliseconds(190));
  CHECK(*delay <= Milliseconds(220));
  CHECK_FALSE(policy.onSent(HedgeCandidate{kind, Urgency::kStandard, true}, now).has_value());
  CHECK_FALSE(policy.onSent(HedgeCandidate{kind, Urgency::kUrgent, false}, now).has_value());
  CHECK_FALSE(policy.tryHedge(HedgeCandidate{kind, Urgency::kUrgent, false}, now));
  int hedges = 0;
  for (int request = 0; request < 1000; ++request) {
    now += Milliseconds(5);
    policy.onSent(urgent, now);
    hedges += policy.tryHedge(urgent, now) ? 1 : 0;
  }
  CHECK(hedges >= 25);
  CHECK(hedges <= 31);
}

}  // namespace
}  // namespace quincewick::admission
