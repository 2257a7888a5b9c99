// Whether a rollout's target version answers worse than the base: a sequential test over all gateways'
// accounts. Pure; `now` never goes back.
//
// Answers of the target are compared with those of the base of the same route, load and seconds, so that what
// strikes both, as a burst or a failing store does, condemns neither. Bad are failures, and answers that took
// several times the base's median. Each stratum has a sequential probability-ratio test, and all have one
// together: "as bad as the base may be" against "that and a margin more". What speaks for the target is kept
// up to the threshold for good only: one that turns bad late is found as soon as another.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>

#include "staged_rollout/response_stats.h"

namespace quincewick::staged_rollout {

enum class Verdict : uint8_t { kUndecided, kGood, kBad };

class VersionVerdict {
 public:
  // The chance of either false verdict, over all strata of a rollout.
  static constexpr double kFalseVerdictProbability = 0.001;

  // What one gateway's account has more than when it told last: answers of both sides of one span.
  void take(const ResponseStats& more, absl::Time now);
  // Judges the spans that are over.
  void judge(absl::Time now);
  // A version that is bad stays so.
  Verdict verdict() const;
  // Of the target, as far as told.
  uint64_t badResponses() const { return bad_answers_; }
  uint64_t targetResponses() const { return target_answers_; }

 private:
  // Answers of both sides in the span that runs: a second, or until the base has enough to compare with.
  struct Span {
    absl::Time began;
    ResponseCounts base;
    ResponseCounts target;
    uint64_t total_baseline = 0;  // the base's answers since the beginning
  };
  struct SequentialTest {
    double evidence = 0;  // logarithm of the likelihood ratio; above 0 it speaks against the target
    uint64_t answers = 0;

    void note(uint64_t bad, uint64_t answers_more, double expected_rate);
  };

  void judgeSpan(const Stratum& stratum, const Span& span);
  double thresholdForBad() const;
  bool isEveryRouteCovered() const;

  absl::btree_map<Stratum, Span> spans_;
  absl::btree_map<Stratum, SequentialTest> tests_;
  SequentialTest overall_test_;
  bool is_bad_ = false;
  uint64_t bad_answers_ = 0;
  uint64_t target_answers_ = 0;
  double excess_bad_responses_ = 0;  // bad answers beyond what the base's rate explains
};

}  // namespace quincewick::staged_rollout
