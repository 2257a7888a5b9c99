#include "admission/limit_account.h"

#include <algorithm>
#include <cmath>

namespace quincewick::admission {
namespace {

constexpr double kShareBesidesLarge = 0.5;
// Seconds of the income that a lease covers right after its renewal. A larger debt can't be covered.
constexpr double kLongestCoveredDebt = 1.9;
// Who asked for a large amount is expected back this long after the time it was told.
constexpr absl::Duration kLargePatience = absl::Seconds(2);
constexpr absl::Duration kDenialFading = absl::Seconds(1);
// Each denial beyond so many within the last second or so makes the next asker wait so much longer.
constexpr double kFreeDenials = 40;
constexpr absl::Duration kWaitPerDenial = absl::Milliseconds(20);

absl::Duration timeToEarn(double amount, double per_second) {
  return per_second > 0 ? absl::Seconds(std::max(0.0, amount) / per_second) : absl::InfiniteDuration();
}

}  // namespace

int64_t TakenWindow::stepOf(absl::Time time) {
  return absl::ToUnixMillis(time) / kStepMilliseconds;
}

void TakenWindow::add(double amount, absl::Time now) {
  const int64_t step = stepOf(now);
  const int64_t first_stale = std::max(newest_step_ + 1, step - static_cast<int64_t>(kSteps) + 1);
  for (int64_t stale = first_stale; stale <= step; ++stale) {
    taken_[static_cast<size_t>(stale) % kSteps] = 0;
  }
  newest_step_ = std::max(newest_step_, step);
  taken_[static_cast<size_t>(step) % kSteps] += static_cast<float>(amount);
}

double TakenWindow::sum(absl::Time now) const {
  const int64_t oldest = stepOf(now) - static_cast<int64_t>(kSteps) + 1;
  double total = 0;
  for (int64_t step = std::max(oldest, newest_step_ - static_cast<int64_t>(kSteps) + 1); step <= newest_step_;
       ++step) {
    total += taken_[static_cast<size_t>(step) % kSteps];
  }
  return total;
}

void LimitBalance::accrue(const LimitIncome& income, absl::Time now) {
  const double share = balance_ >= 0 && now < large_waits_until_ ? kShareBesidesLarge : 1;
  balance_ = std::min(balance_ + share * income.since_last, income.capacity);
}

LimitBalance::Taken LimitBalance::take(double wanted, double minimum, const LimitIncome& income,
                                       absl::Time now) {
  if (minimum > income.capacity) {
    return takeLarge(minimum, income, now);
  }
  if (balance_ < minimum) {
    return Taken{0, timeToEarn(minimum - balance_, income.per_second)};
  }
  const double taken = std::min(wanted, balance_);
  balance_ -= taken;
  taken_.add(taken, now);
  return Taken{taken, absl::ZeroDuration()};
}

LimitBalance::Taken LimitBalance::takeLarge(double amount, const LimitIncome& income, absl::Time now) {
  const double excess = taken_.sum(now) + amount - income.in_window;
  const double debt = std::min(amount - balance_, income.per_second * kLongestCoveredDebt);
  if (balance_ >= 0 && excess <= 0 && debt <= income.leased) {
    balance_ -= amount;
    large_waits_until_ = absl::InfinitePast();
    taken_.add(amount, now);
    return Taken{amount, absl::ZeroDuration()};
  }
  const absl::Duration wait =
      std::max(timeToEarn(-balance_, income.per_second), timeToEarn(excess, income.per_second));
  large_waits_until_ = now + std::min(wait, kLimitWindow) + kLargePatience;
  return Taken{0, wait};
}

void LimitBalance::putBack(double amount, absl::Time now) {
  balance_ += amount;
  taken_.add(-amount, now);
}

absl::Duration LimitAccount::recordDenial(absl::Time now) {
  denials = denials * std::exp(-absl::FDivDuration(now - last_denial, kDenialFading)) + 1;
  last_denial = now;
  return std::max(0.0, denials - kFreeDenials) * kWaitPerDenial;
}

}  // namespace quincewick::admission
