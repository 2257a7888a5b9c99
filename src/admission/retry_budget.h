// Bounds retries and hedges to a share of the requests, so that they can't turn trouble into a storm.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace quincewick::admission {

struct RetryBudgetConfiguration {
  double ratio = 0.1;             // retries for each request
  double minimum_per_second = 1;  // allowed however few requests there are
  absl::Duration window = absl::Seconds(10);
};

// Counts over a sliding window. A plain value without threads. Time must not go backwards.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetConfiguration& configuration) : configuration_(configuration) {}

  // A request, not a retry, was sent.
  void recordRequest(absl::Time now);
  // Spends one retry if the budget has it.
  bool trySpend(absl::Time now);
  // Retries that could be spent now.
  double remaining(absl::Time now);

 private:
  static constexpr size_t kSteps = 10;
  struct Step {
    uint32_t requests = 0;
    uint32_t retries = 0;
  };

  void advance(absl::Time now);

  RetryBudgetConfiguration configuration_;
  std::array<Step, kSteps> steps_ = {};
  int64_t current_step_ = 0;
};

}  // namespace quincewick::admission
