// Token bucket of one limit, held by the limit's owner. Pure; `now` never goes back.
//
// The bucket fills at the limit's rate. Half of the tolerance is headroom in the bucket; the other half
// covers what two owners grant at the same time while one succeeds the other. The first in rank starts with a
// full bucket. A stand-in starts with an eighth of the tolerance and falls back to that after a second
// without requests, because another node may have owned the limit meanwhile.
#pragma once

#include <absl/time/time.h>

#include "quota/rate_limit.h"

namespace quincewick::quota {

struct QuotaVerdict {
  bool is_granted = false;
  absl::Duration retry_after;  // if denied: when the requested amount will be available
};

// How much of a limit an owner may grant.
struct OwnerAllowance {
  double rate_fraction = 1;  // of the limit's rate
  // Whether unused rate accumulates for bursts. False: another node owned the limit recently and may have
  // granted the same amount.
  bool may_accumulate = true;
  // No node ranks before this one, so a second without requests does not mean that another owner was asked.
  bool is_first_in_rank = true;
  double initial_fraction = 1;  // of the balance that a succeeding owner starts with

  static OwnerAllowance full() { return {}; }
};

class QuotaAccount {
 public:
  // Consumes `cost` or nothing. A cost above the initial balance of a succeeding owner is granted on credit
  // as soon as the bucket holds that initial balance.
  QuotaVerdict tryConsume(double cost, const RateLimit& limit, const LimitTolerance& tolerance,
                          const OwnerAllowance& allowance, absl::Time now);
  // Returns what was consumed for a request that never ran.
  void refund(double cost) { balance_ += cost; }

  absl::Time lastRequest() const { return last_request_; }

 private:
  void accrue(const RateLimit& limit, const LimitTolerance& tolerance, const OwnerAllowance& allowance,
              absl::Time now);

  double balance_ = 0;   // negative: granted on credit
  double deferred_ = 0;  // cost of denied requests that may still be waiting for their retry time
  absl::Time last_request_ = absl::InfinitePast();
};

}  // namespace quincewick::quota
