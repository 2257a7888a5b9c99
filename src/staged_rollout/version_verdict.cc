#include "staged_rollout/version_verdict.h"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>

namespace quincewick::staged_rollout {
namespace {

// An answer that took so many times the base's median is a bad one.
constexpr double kSlowFactor = 3;
// Of bad answers, of all: what a sound version may have whatever the base has, and what a bad one has more.
constexpr double kSoundRate = 0.02;
constexpr double kBadMargin = 0.06;
constexpr double kHighestRate = 0.97;
// Both sides are compared span by span: what comes and goes strikes both alike within one.
constexpr absl::Duration kSpan = absl::Seconds(1);
constexpr absl::Duration kLongestSpan = absl::Seconds(3);
constexpr uint64_t kFewestOfBase = 20;
// The base's rate is taken at the upper end of what its answers leave open, at this risk.
constexpr double kRiskOfBaseRate = 0.1;
// Beyond the base's rate: the operator allows few answers after the fiftieth bad one.
constexpr double kUnexplainedAtMost = 40;
// Kept beyond the threshold for good, so that a single bad answer doesn't undo that verdict.
constexpr double kEvidenceKept = 3;
// A version that was hardly tried can't be good.
constexpr uint64_t kFewestAnswers = 30;
constexpr uint64_t kBaseAnswersOfARoute = 200;  // with as many of the base, the target must have some
constexpr uint64_t kFewestOfARoute = 5;

double rateOfBase(uint64_t bad, uint64_t answers) {
  if (answers == 0 || bad >= answers) {
    return answers == 0 ? kSoundRate : kHighestRate - kBadMargin;
  }
  const double upper = boost::math::binomial_distribution<>::find_upper_bound_on_p(
      static_cast<double>(answers), static_cast<double>(bad), kRiskOfBaseRate);
  return std::clamp(upper, kSoundRate, kHighestRate - kBadMargin);
}

// Answers slower than this class are bad; none are where the base has no times.
size_t slowestSoundClass(const AnswerCounts& base) {
  const size_t median = base.medianClass();
  if (median == kTimeClasses) {
    return kTimeClasses;
  }
  static const auto steps = static_cast<size_t>(std::ceil(std::log(kSlowFactor) / std::log(1.4)));  // classes
  return median + steps;
}

double thresholdForGood() {
  return -std::log(1 / VersionVerdict::kFalseVerdicts);
}

}  // namespace

void VersionVerdict::Test::note(uint64_t bad, uint64_t answers_more, double expected_rate) {
  const double bad_rate = expected_rate + kBadMargin;
  const auto good = static_cast<double>(answers_more - bad);
  evidence += static_cast<double>(bad) * std::log(bad_rate / expected_rate) +
              good * std::log((1 - bad_rate) / (1 - expected_rate));
  evidence = std::max(evidence, thresholdForGood() - kEvidenceKept);
  answers += answers_more;
}

void VersionVerdict::take(const AnswerAccount& more, absl::Time now) {
  judge(now);
  for (const Side side : {Side::kBase, Side::kTarget}) {
    for (const auto& [stratum, counts] : more.of(side)) {
      Span& span = spans_.try_emplace(stratum, Span{now, {}, {}, 0}).first->second;
      (side == Side::kBase ? span.base : span.target).add(counts);
      span.base_of_all += side == Side::kBase ? counts.answers : 0;
    }
  }
}

void VersionVerdict::judge(absl::Time now) {
  for (auto& [stratum, span] : spans_) {
    const bool is_comparable = span.base.answers >= kFewestOfBase;
    if (now - span.began < (is_comparable ? kSpan : kLongestSpan)) {
      continue;
    }
    judgeSpan(stratum, span);
    span.began = now;
    span.base = {};
    span.target = {};
  }
}

void VersionVerdict::judgeSpan(const Stratum& stratum, const Span& span) {
  if (span.target.answers == 0) {
    return;
  }
  const size_t slowest_sound = slowestSoundClass(span.base);
  const uint64_t bad = span.target.failures + span.target.slowerThan(slowest_sound);
  const uint64_t bad_of_base = span.base.failures + span.base.slowerThan(slowest_sound);
  const double expected = rateOfBase(bad_of_base, span.base.answers);
  Test& test = tests_[stratum];
  test.note(bad, span.target.answers, expected);
  together_.note(bad, span.target.answers, expected);
  bad_answers_ += bad;
  target_answers_ += span.target.answers;
  unexplained_ += static_cast<double>(bad) - expected * static_cast<double>(span.target.answers);
  unexplained_ = std::max(unexplained_, 0.0);
  const bool is_condemned = test.evidence >= thresholdForBad() || together_.evidence >= thresholdForBad() ||
                            unexplained_ >= kUnexplainedAtMost;
  is_bad_ = is_bad_ || is_condemned;
}

// The chance of a false verdict is shared among all tests.
double VersionVerdict::thresholdForBad() const {
  return std::log(static_cast<double>(tests_.size() + 1) / kFalseVerdicts);
}

bool VersionVerdict::isEachRouteSeen() const {
  absl::btree_map<uint64_t, uint64_t> of_base;
  absl::btree_map<uint64_t, uint64_t> of_target;
  for (const auto& [stratum, span] : spans_) {
    of_base[stratum.route] += span.base_of_all;
  }
  for (const auto& [stratum, test] : tests_) {
    of_target[stratum.route] += test.answers;
  }
  return std::all_of(of_base.begin(), of_base.end(), [&of_target](const auto& route) {
    return route.second < kBaseAnswersOfARoute || of_target[route.first] >= kFewestOfARoute;
  });
}

Verdict VersionVerdict::verdict() const {
  if (is_bad_) {
    return Verdict::kBad;
  }
  const bool is_accepted = together_.evidence <= thresholdForGood() && target_answers_ >= kFewestAnswers;
  const bool is_any_suspect =
      std::any_of(tests_.begin(), tests_.end(), [](const auto& entry) { return entry.second.evidence > 0; });
  return is_accepted && !is_any_suspect && isEachRouteSeen() ? Verdict::kGood : Verdict::kOpen;
}

}  // namespace quincewick::staged_rollout
