#include "quota/quota_account.h"

#include <algorithm>

namespace quincewick::quota {
namespace {

// Fractions of the tolerance: the bucket's capacity beyond the burst, and a succeeding owner's initial
// balance.
constexpr double kHeadroomFraction = 0.5;
constexpr double kInitialFraction = 0.125;
// After this time without requests another owner may have been asked.
constexpr absl::Duration kOwnershipGap = absl::Seconds(1);

double initialBalance(double tolerance, const OwnerAllowance& allowance) {
  return kInitialFraction * tolerance * allowance.initial_fraction;
}

}  // namespace

void QuotaAccount::accrue(const RateLimit& limit, const LimitTolerance& tolerance,
                          const OwnerAllowance& allowance, absl::Time now) {
  const double tolerance_amount = tolerance.amountFor(limit);
  const double capacity = limit.burst + kHeadroomFraction * tolerance_amount;
  const bool is_new = last_request_ == absl::InfinitePast();
  const absl::Duration passed = is_new ? kOwnershipGap : now - last_request_;
  const double earned = limit.per_second * allowance.rate_fraction * absl::ToDoubleSeconds(passed);
  balance_ = is_new ? capacity : std::min(balance_ + earned, capacity);
  deferred_ = std::max(deferred_ - earned, 0.0);
  const bool others_were_asked = !allowance.is_first_in_rank && passed >= kOwnershipGap;
  if (others_were_asked || !allowance.may_accumulate) {
    balance_ = std::min(balance_, initialBalance(tolerance_amount, allowance));
  }
  last_request_ = now;
}

QuotaVerdict QuotaAccount::tryConsume(double cost, const RateLimit& limit, const LimitTolerance& tolerance,
                                      const OwnerAllowance& allowance, absl::Time now) {
  const double rate = limit.per_second * allowance.rate_fraction;
  accrue(limit, tolerance, allowance, now);
  const double needed = std::min(cost, initialBalance(tolerance.amountFor(limit), allowance));
  if (balance_ >= needed) {
    balance_ -= cost;
    return {true, absl::ZeroDuration()};
  }
  const double missing = needed - balance_ + deferred_;
  deferred_ += cost;
  return {false, absl::Seconds(missing / rate)};
}

}  // namespace quincewick::quota
