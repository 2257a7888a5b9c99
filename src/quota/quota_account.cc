#include "quota/quota_account.h"

#include <algorithm>

namespace quincewick::quota {
namespace {

// Fractions of the tolerance: the bucket's capacity beyond the burst, and the balance of an account whose
// recent grants are unknown.
constexpr double kHeadroomFraction = 0.5;
constexpr double kInitialFraction = 0.125;
// Fraction of the capacity at which a larger cost is granted. The rest accumulates while none is requested.
constexpr double kCreditThreshold = 0.5;

}  // namespace

double QuotaAccount::capacityOf(const RateLimit& limit, const LimitTolerance& tolerance, double fraction) {
  return fraction * (limit.burst + kHeadroomFraction * tolerance.amountFor(limit));
}

double QuotaAccount::accrue(const RateLimit& limit, const LimitTolerance& tolerance,
                            const OwnerAllowance& allowance, absl::Time now) {
  const bool is_new = last_request_ == absl::InfinitePast();
  const absl::Duration passed = is_new ? absl::ZeroDuration() : now - last_request_;
  const double earned = limit.per_second * allowance.fraction * absl::ToDoubleSeconds(passed);
  const double capacity = allowance.may_accumulate
                              ? capacityOf(limit, tolerance, allowance.fraction)
                              : kInitialFraction * allowance.fraction * tolerance.amountFor(limit);
  balance_ = is_new ? capacity : std::min(balance_ + earned, capacity);
  deferred_ = std::max(deferred_ - earned, 0.0);
  last_request_ = now;
  return capacity;
}

QuotaVerdict QuotaAccount::tryConsume(double cost, const RateLimit& limit, const LimitTolerance& tolerance,
                                      const OwnerAllowance& allowance, absl::Time now) {
  const double capacity = accrue(limit, tolerance, allowance, now);
  const double needed = cost > capacity ? kCreditThreshold * capacity : cost;
  if (balance_ >= needed) {
    balance_ -= cost;
    return {true, absl::ZeroDuration()};
  }
  const double missing = needed - balance_ + deferred_;
  if (allowance.defers_denied) {
    deferred_ += cost;
  }
  return {false, absl::Seconds(missing / (limit.per_second * allowance.fraction))};
}

}  // namespace quincewick::quota
