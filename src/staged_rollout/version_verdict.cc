#include "staged_rollout/version_verdict.h"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>

namespace quincewick::staged_rollout {
namespace {

// A response that took longer than this many times the baseline's median is bad.
constexpr double kSlowFactor = 3;
// Rates of bad responses: the least that is expected whatever the baseline has, the margin above the expected
// rate that makes a version bad, and the greatest rate of the alternative hypothesis.
constexpr double kMinExpectedBadRate = 0.02;
constexpr double kBadMargin = 0.06;
constexpr double kMaxRate = 0.97;
// Variants are compared span by span: within one span, transient conditions affect both alike.
constexpr absl::Duration kMinSpan = absl::Seconds(1);
constexpr absl::Duration kMaxSpan = absl::Seconds(3);
constexpr uint64_t kMinBaselineResponses = 20;
// The baseline's rate is taken as its upper confidence bound at this risk.
constexpr double kBaselineRateRisk = 0.1;
// Beyond the baseline's rate. Operators allow few responses after the fiftieth bad one.
constexpr double kMaxExcessBadResponses = 40;
// Evidence kept beyond the threshold for good, so that a single bad response doesn't undo that verdict.
constexpr double kEvidenceMargin = 3;
// With fewer responses a version can't be found good.
constexpr uint64_t kMinTargetResponses = 30;
// On a route with this many responses of the baseline, the target needs kMinRouteTargetResponses.
constexpr uint64_t kRouteBaselineResponses = 200;
constexpr uint64_t kMinRouteTargetResponses = 5;

double expectedBadRate(uint64_t bad, uint64_t answers) {
  if (answers == 0 || bad >= answers) {
    return answers == 0 ? kMinExpectedBadRate : kMaxRate - kBadMargin;
  }
  const double upper = boost::math::binomial_distribution<>::find_upper_bound_on_p(
      static_cast<double>(answers), static_cast<double>(bad), kBaselineRateRisk);
  return std::clamp(upper, kMinExpectedBadRate, kMaxRate - kBadMargin);
}

// Responses in slower buckets than this one are bad; none are if the baseline has no complete responses.
size_t slowestGoodBucket(const ResponseCounts& base) {
  const size_t median = base.medianBucket();
  if (median == kLatencyBuckets) {
    return kLatencyBuckets;
  }
  static const auto steps = static_cast<size_t>(std::ceil(std::log(kSlowFactor) / std::log(1.4)));  // buckets
  return median + steps;
}

double thresholdForGood() {
  return -std::log(1 / VersionVerdict::kFalseVerdictProbability);
}

}  // namespace

void VersionVerdict::SequentialTest::note(uint64_t bad, uint64_t more_responses, double expected_rate) {
  const double bad_rate = expected_rate + kBadMargin;
  const auto good = static_cast<double>(more_responses - bad);
  evidence += static_cast<double>(bad) * std::log(bad_rate / expected_rate) +
              good * std::log((1 - bad_rate) / (1 - expected_rate));
  evidence = std::max(evidence, thresholdForGood() - kEvidenceMargin);
  answers += more_responses;
}

void VersionVerdict::take(const ResponseStats& more, absl::Time now) {
  judge(now);
  for (const Variant variant : {Variant::kBaseline, Variant::kTarget}) {
    for (const auto& [stratum, counts] : more.of(variant)) {
      Span& span = spans_.try_emplace(stratum, Span{now, {}, {}, 0}).first->second;
      (variant == Variant::kBaseline ? span.base : span.target).add(counts);
      span.total_baseline += variant == Variant::kBaseline ? counts.answers : 0;
    }
  }
}

void VersionVerdict::judge(absl::Time now) {
  for (auto& [stratum, span] : spans_) {
    const bool is_comparable = span.base.answers >= kMinBaselineResponses;
    const bool has_ended = now - span.began >= (is_comparable ? kMinSpan : kMaxSpan);
    if (!has_ended && !(is_comparable && judgementWith(stratum, span).is_bad)) {
      continue;
    }
    judgeSpan(stratum, span);
    span.began = now;
    span.base = {};
    span.target = {};
  }
}

VersionVerdict::Judgement VersionVerdict::judgementWith(const Stratum& stratum, const Span& span) const {
  const size_t slowest_good = slowestGoodBucket(span.base);
  const uint64_t bad_in_baseline = span.base.failures + span.base.slowerThan(slowest_good);
  const double expected = expectedBadRate(bad_in_baseline, span.base.answers);
  const auto known = tests_.find(stratum);
  Judgement judgement;
  judgement.test = known == tests_.end() ? SequentialTest() : known->second;
  judgement.overall_test = overall_test_;
  judgement.bad = span.target.failures + span.target.slowerThan(slowest_good);
  judgement.test.note(judgement.bad, span.target.answers, expected);
  judgement.overall_test.note(judgement.bad, span.target.answers, expected);
  const double excess =
      static_cast<double>(judgement.bad) - expected * static_cast<double>(span.target.answers);
  judgement.excess_bad_responses = std::max(excess_bad_responses_ + excess, 0.0);
  const double threshold = thresholdForBad(tests_.size() + (known == tests_.end() ? 1 : 0));
  judgement.is_bad = judgement.test.evidence >= threshold || judgement.overall_test.evidence >= threshold ||
                     judgement.excess_bad_responses >= kMaxExcessBadResponses;
  return judgement;
}

void VersionVerdict::judgeSpan(const Stratum& stratum, const Span& span) {
  if (span.target.answers == 0) {
    return;
  }
  const Judgement judgement = judgementWith(stratum, span);
  tests_[stratum] = judgement.test;
  overall_test_ = judgement.overall_test;
  bad_responses_ += judgement.bad;
  target_responses_ += span.target.answers;
  excess_bad_responses_ = judgement.excess_bad_responses;
  is_bad_ = is_bad_ || judgement.is_bad;
}

// The probability of a false verdict is divided among all tests.
double VersionVerdict::thresholdForBad(size_t strata) {
  return std::log(static_cast<double>(strata + 1) / kFalseVerdictProbability);
}

bool VersionVerdict::isEveryRouteCovered() const {
  absl::btree_map<uint64_t, uint64_t> of_base;
  absl::btree_map<uint64_t, uint64_t> of_target;
  for (const auto& [stratum, span] : spans_) {
    of_base[stratum.route] += span.total_baseline;
  }
  for (const auto& [stratum, test] : tests_) {
    of_target[stratum.route] += test.answers;
  }
  return std::all_of(of_base.begin(), of_base.end(), [&of_target](const auto& route) {
    return route.second < kRouteBaselineResponses || of_target[route.first] >= kMinRouteTargetResponses;
  });
}

Verdict VersionVerdict::verdict() const {
  if (is_bad_) {
    return Verdict::kBad;
  }
  const bool is_accepted =
      overall_test_.evidence <= thresholdForGood() && target_responses_ >= kMinTargetResponses;
  const bool is_any_suspect =
      std::any_of(tests_.begin(), tests_.end(), [](const auto& entry) { return entry.second.evidence > 0; });
  return is_accepted && !is_any_suspect && isEveryRouteCovered() ? Verdict::kGood : Verdict::kUndecided;
}

}  // namespace quincewick::staged_rollout
