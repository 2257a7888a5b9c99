// The books of one tenant's limit at its home.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstdint>

#include "admission/messages.h"
#include "admission/shared_limit_types.h"

namespace quincewick::admission {

// What was taken in the last ten seconds, in steps.
class TakenWindow {
 public:
  void add(double amount, absl::Time now);
  // At least all that was taken within kLimitWindow before `now`.
  double sum(absl::Time now) const;

 private:
  static constexpr int64_t kStepMilliseconds = 500;
  // One step more than the window and the lifetime of what is taken, as steps are counted whole.
  static constexpr size_t kSteps = 22;

  static int64_t stepOf(absl::Time time);

  std::array<float, kSteps> taken_ = {};
  int64_t newest_step_ = 0;
};

// The time over which a limit holds.
inline constexpr absl::Duration kLimitWindow = absl::Seconds(10);

// What a limit earns now: worked out by the home from the rights it holds.
struct LimitIncome {
  double since_last = 0;  // came up since the last accrual
  double capacity = 0;    // came up within the burst time: older income is lost if unused
  double in_window = 0;   // came up within kLimitWindow
  double per_second = 0;  // comes up now
  double leased = 0;      // will come up before the leases end, whether this process lives on or not
};

// One limit of one tenant. Amounts up to the capacity are taken from what came up lately. A larger amount may
// be taken on credit while nothing is owed, if all that was taken within kLimitWindow stays below what came
// up and the leases cover the debt, so that it is paid even if this home is lost; while one waits for that,
// smaller amounts get half the income.
class LimitBalance {
 public:
  struct Taken {
    double amount = 0;
    absl::Duration retry_after;  // when nothing was taken
  };

  void accrue(const LimitIncome& income, absl::Time now);
  // Takes between `minimum` and `wanted`, or nothing.
  Taken take(double wanted, double minimum, const LimitIncome& income, absl::Time now);
  // Puts back what was taken at `now` and could not be used.
  void putBack(double amount, absl::Time now);
  bool owes() const { return balance_ < 0; }

 private:
  Taken takeLarge(double amount, const LimitIncome& income, absl::Time now);

  double balance_ = 0;  // negative: owed
  absl::Time large_waits_until_ = absl::InfinitePast();
  TakenWindow taken_;
};

// A tenant's balances, and the permits of its running requests by node.
struct LimitAccount {
  struct NodePermits {
    uint32_t held = 0;
    absl::Time heard;
  };

  // One ask was denied: returns how long the asker must wait at least, so that the asks of all nodes that
  // wait stay few.
  absl::Duration recordDenial(absl::Time now);

  LimitBalance tokens;
  LimitBalance requests;
  double denials = 0;  // lately, fading
  absl::Time last_denial = absl::InfinitePast();
  absl::Time accrued_until = absl::InfinitePast();
  absl::Time last_ask;
  absl::btree_map<NodeId, NodePermits> permits;
};

}  // namespace quincewick::admission
