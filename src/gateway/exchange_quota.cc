// Acquires and refunds a request's share of its tenant's limit.
#include <utility>

#include "gateway/exchange.h"

namespace quincewick::gateway {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

}  // namespace

quota::LimitName Exchange::limitName() const {
  return quota::LimitName(tenant_->id.value());
}

// No server gets the request before the tenant's limit allows it.
void Exchange::requestQuota() {
  if (tenant_ == nullptr || !tenant_->limit) {
    tryNext();
    return;
  }
  const quota::RateLimit& limit = *tenant_->limit;
  const double tokens =
      facts_.declared_tokens ? static_cast<double>(*facts_.declared_tokens) : limit.tokens_if_undeclared;
  quota_cost_ = limit.unit == quota::LimitUnit::kTokens ? tokens : 1;
  const uint64_t request_number =
      core_.quotas->acquire(limitName(), quota_cost_, [this](const quota::QuotaDecision& decision) {
        const auto self = shared_from_this();
        onQuotaDecision(decision);
      });
  if (!is_quota_decided_) {
    pending_quota_ = request_number;
  }
}

void Exchange::onQuotaDecision(const quota::QuotaDecision& decision) {
  is_quota_decided_ = true;
  pending_quota_.reset();
  quota_wait_ = reactor::steadyNow() - began_;
  quota_owner_ = decision.owner;
  if (!decision.verdict.is_granted) {
    quota_cost_ = 0;
    if (decision.is_unavailable) {
      reject(kUnavailable, "limit_unavailable", decision.verdict.retry_after);
      return;
    }
    reject(kTooManyRequests, "over_limit", decision.verdict.retry_after);
    return;
  }
  tryNext();
}

// At the request's end: cancels a pending acquisition, and refunds a grant if the request did not run.
void Exchange::releaseQuota() {
  if (pending_quota_) {
    core_.quotas->cancel(*std::exchange(pending_quota_, std::nullopt));
    return;
  }
  const double cost = std::exchange(quota_cost_, 0);
  if (is_quota_decided_ && cost > 0 && ledger_.execution() == Execution::kNotRun) {
    core_.quotas->refund(limitName(), cost, quota_owner_);
  }
}

}  // namespace quincewick::gateway
