// What is left of one limit, as its keeper books it. Pure; `now` never goes back.
//
// A bucket that fills at the limit's rate. Half of the tolerance is room in the bucket; the other half covers
// what keepers that follow one another give out besides each other. The first in rank begins with a full
// bucket, one that stands in with an eighth of the tolerance, to which it falls back after a second in which
// nobody asked: another may have kept the books.
#pragma once

#include <absl/time/time.h>

#include "quota/rate_limit.h"

namespace quincewick::quota {

struct QuotaVerdict {
  bool is_granted = false;
  absl::Duration retry_after;  // where it was denied: when so much will have come free
};

// What a keeper may give out.
struct OwnerAllowance {
  double rate_fraction = 1;  // of the limit's rate
  bool may_accumulate =
      true;  // for bursts; false: another kept the books of late, and may have given the same out
  bool is_first_in_rank = true;  // in rank: where nobody asked this one, nobody asked at all
  double initial_fraction = 1;   // of what a keeper that follows another begins with

  static OwnerAllowance full() { return {}; }
};

class QuotaAccount {
 public:
  // Takes `cost`, or nothing. More than can be saved up may be taken on credit from a bucket that holds what
  // a new keeper begins with.
  QuotaVerdict tryConsume(double cost, const RateLimit& limit, const LimitTolerance& tolerance,
                          const OwnerAllowance& allowance, absl::Time now);
  // Puts back what was taken for a request that never ran.
  void refund(double cost) { balance_ += cost; }

  absl::Time lastRequest() const { return last_request_; }

 private:
  void accrue(const RateLimit& limit, const LimitTolerance& tolerance, const OwnerAllowance& allowance,
              absl::Time now);

  double balance_ = 0;   // negative: owed
  double deferred_ = 0;  // to those that were told when to come back, and may not have come yet
  absl::Time last_request_ = absl::InfinitePast();
};

}  // namespace quincewick::quota
