// Decides whether a rollout's target version responds worse than the baseline: a sequential test over the
// stats of all gateways. Pure; `now` never goes back.
//
// Responses of the target are compared with those of the baseline of the same route, load and seconds, so
// that a burst or a failing store, which affects both, doesn't count against either. Bad responses are
// failures and responses that took several times the baseline's median. Each stratum has a sequential
// probability-ratio test and all strata have one in common. The null hypothesis is the highest bad rate that
// the baseline's responses allow; the alternative is that rate plus a margin. Evidence for the target is
// capped near the threshold for good, so a target that turns bad late is found as soon as one that is bad
// from the start.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>

#include "staged_rollout/response_stats.h"

namespace quincewick::staged_rollout {

enum class Verdict : uint8_t { kUndecided, kGood, kBad };

class VersionVerdict {
 public:
  // Probability of either false verdict, over all strata of a rollout.
  static constexpr double kFalseVerdictProbability = 0.001;

  // Adds what one gateway's stats gained since its last report: responses of both variants of one span.
  void take(const ResponseStats& more, absl::Time now);
  // Evaluates the spans that have ended, and those that already show the target to be bad: the first reports
  // to a new lease holder carry all responses since the rollout began.
  void judge(absl::Time now);
  // A bad verdict is final.
  Verdict verdict() const;
  // Of the target, as far as reported.
  uint64_t badResponses() const { return bad_responses_; }
  uint64_t targetResponses() const { return target_responses_; }

 private:
  // Responses of both variants in the current span. It lasts at least a second and until the baseline has
  // enough responses to compare with, but ends after 3 s.
  struct Span {
    absl::Time began;
    ResponseCounts base;
    ResponseCounts target;
    uint64_t total_baseline = 0;  // responses of the baseline since the start
  };
  struct SequentialTest {
    double evidence = 0;  // logarithm of the likelihood ratio; above 0: against the target
    uint64_t answers = 0;

    void note(uint64_t bad, uint64_t more_responses, double expected_rate);
  };

  // A stratum's tests and the sums, with one more span.
  struct Judgement {
    SequentialTest test;
    SequentialTest overall_test;
    uint64_t bad = 0;
    double excess_bad_responses = 0;
    bool is_bad = false;
  };

  Judgement judgementWith(const Stratum& stratum, const Span& span) const;
  void judgeSpan(const Stratum& stratum, const Span& span);
  static double thresholdForBad(size_t strata);
  bool isEveryRouteCovered() const;

  absl::btree_map<Stratum, Span> spans_;
  absl::btree_map<Stratum, SequentialTest> tests_;
  SequentialTest overall_test_;
  bool is_bad_ = false;
  uint64_t bad_responses_ = 0;
  uint64_t target_responses_ = 0;
  double excess_bad_responses_ = 0;  // beyond what the baseline's bad rate explains
};

}  // namespace quincewick::staged_rollout
