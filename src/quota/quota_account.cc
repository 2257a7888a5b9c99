#include "quota/quota_account.h"

#include <algorithm>

namespace quincewick::quota {
namespace {

// Of the tolerance: the bucket's room beyond the burst, and what a keeper begins with.
constexpr double kRoomPart = 0.5;
constexpr double kBeginningPart = 0.125;
// After so long without a question another keeper may have been asked.
constexpr absl::Duration kGap = absl::Seconds(1);

double beginning(double tolerance, const KeeperRights& rights) {
  return kBeginningPart * tolerance * rights.beginning;
}

}  // namespace

void QuotaAccount::accrue(const RateLimit& limit, const LimitTolerance& tolerance, const KeeperRights& rights,
                          absl::Time now) {
  const double spare = tolerance.amountFor(limit);
  const double room = limit.burst + kRoomPart * spare;
  const bool is_new = last_asked_ == absl::InfinitePast();
  const absl::Duration passed = is_new ? kGap : now - last_asked_;
  const double earned = limit.per_second * rights.part * absl::ToDoubleSeconds(passed);
  balance_ = is_new ? room : std::min(balance_ + earned, room);
  promised_ = std::max(promised_ - earned, 0.0);
  const bool others_were_asked = !rights.is_first && passed >= kGap;
  if (others_were_asked || !rights.may_save) {
    balance_ = std::min(balance_, beginning(spare, rights));
  }
  last_asked_ = now;
}

QuotaVerdict QuotaAccount::take(double cost, const RateLimit& limit, const LimitTolerance& tolerance,
                                const KeeperRights& rights, absl::Time now) {
  const double rate = limit.per_second * rights.part;
  accrue(limit, tolerance, rights, now);
  const double needed = std::min(cost, beginning(tolerance.amountFor(limit), rights));
  if (balance_ >= needed) {
    balance_ -= cost;
    return {true, absl::ZeroDuration()};
  }
  const double missing = needed - balance_ + promised_;
  promised_ += cost;
  return {false, absl::Seconds(missing / rate)};
}

}  // namespace quincewick::quota
