// Token bucket of one part of a limit, held by the gateway to which the part is assigned. Pure; `now` never
// goes back.
//
// The bucket fills at the part's share of the limit's rate. Its capacity is the same share of the burst and
// of half of the tolerance. The other half covers costs on credit, responses on their way and holders that
// restart: a holder that may have granted before its start begins with an eighth of the tolerance.
#pragma once

#include <absl/time/time.h>

#include "quota/rate_limit.h"

namespace quincewick::quota {

struct QuotaVerdict {
  bool is_granted = false;
  absl::Duration retry_after;  // if denied: when the requested amount will be available
};

// How much of a limit an account may grant.
struct OwnerAllowance {
  double fraction = 1;  // of the limit's rate, burst and tolerance
  // Whether unused rate accumulates for bursts. False: what was granted recently from this part is unknown.
  bool may_accumulate = true;
  // Whether a denied request is expected back at its retry time, and later ones are to return after it.
  bool defers_denied = true;

  static OwnerAllowance full() { return {}; }
};

class QuotaAccount {
 public:
  // Consumes `cost` or nothing. A cost above the bucket's capacity is granted on credit when the bucket is
  // half full.
  QuotaVerdict tryConsume(double cost, const RateLimit& limit, const LimitTolerance& tolerance,
                          const OwnerAllowance& allowance, absl::Time now);
  // The capacity of an account with this fraction of the limit, which is the largest cost without credit.
  static double capacityOf(const RateLimit& limit, const LimitTolerance& tolerance, double fraction);
  // Returns what was consumed for a request that never ran.
  void refund(double cost) { balance_ += cost; }

  absl::Time lastRequest() const { return last_request_; }

 private:
  // Returns the capacity, in the limit's unit.
  double accrue(const RateLimit& limit, const LimitTolerance& tolerance, const OwnerAllowance& allowance,
                absl::Time now);

  double balance_ = 0;   // negative: granted on credit
  double deferred_ = 0;  // cost of denied requests that may still be waiting for their retry time
  absl::Time last_request_ = absl::InfinitePast();
};

}  // namespace quincewick::quota
